// In-memory rows of the platform's table service, with conditional transactions.
#pragma once

#include "gentianplank/store/table_store.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// Not thread-safe; the owner synchronises access.
struct Tables
{
    // The revision of the last committed transaction.
    uint64_t revision = 0;
    std::map<std::string, TableRow, std::less<>> rows;
};

// Returns the row, or a row with revision 0 if the key doesn't exist.
TableRow readRow(const Tables &tables, std::string_view key);

// Returns at most `limit` rows with first <= key < last, in key order.
std::vector<TableRow> readRows(const Tables &tables, std::string_view first, std::string_view last,
                               uint32_t limit);

// Applies all writes if every condition holds, otherwise none and returns the first failed key.
TransactionResult applyTransaction(Tables &tables, const TableTransaction &transaction);

} // namespace gentianplank
