#include "gentianplank/standin/tables.h"

namespace gentianplank {

TableRow readRow(const Tables &tables, std::string_view key)
{
    const auto it = tables.rows.find(key);
    return it == tables.rows.end() ? TableRow{std::string(key), 0, {}} : it->second;
}

std::vector<TableRow> readRows(const Tables &tables, std::string_view first, std::string_view last,
                               uint32_t limit)
{
    std::vector<TableRow> rows;
    for (auto it = tables.rows.lower_bound(first);
         it != tables.rows.end() && it->first < last && rows.size() < limit; ++it) {
        rows.push_back(it->second);
    }
    return rows;
}

TransactionResult applyTransaction(Tables &tables, const TableTransaction &transaction)
{
    for (const TableCondition &it : transaction.conditions) {
        if (readRow(tables, it.key).revision != it.revision) {
            return {false, 0, it.key};
        }
    }
    ++tables.revision;
    for (const TableWrite &it : transaction.writes) {
        if (it.erase) {
            tables.rows.erase(it.key);
        } else {
            tables.rows[it.key] = {it.key, tables.revision, it.value};
        }
    }
    return {true, tables.revision, {}};
}

} // namespace gentianplank
