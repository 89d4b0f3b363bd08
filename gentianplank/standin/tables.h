// The table service's rows in memory.
#pragma once

#include "gentianplank/store/table_store.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// A plain value; the owner guards it.
struct Tables
{
    uint64_t revision = 0;
    std::map<std::string, TableRow, std::less<>> rows;
};

// Returns the row, with revision 0 when it does not exist.
TableRow readRow(const Tables &tables, std::string_view key);

std::vector<TableRow> readRows(const Tables &tables, std::string_view first, std::string_view last,
                               uint32_t limit);

// Applies all writes when every condition holds, otherwise none.
TransactionResult applyTransaction(Tables &tables, const TableTransaction &transaction);

} // namespace gentianplank
