// A table store decorator that counts calls to another store and measures their latency.
//
//     MeteredTableStore tables(platform.tables(), metrics);
#pragma once

#include "gentianplank/metrics/metrics.h"
#include "gentianplank/store/table_store.h"

namespace gentianplank {

class MeteredTableStore : public TableStore
{
public:
    // `store` and `metrics` must outlive this store.
    MeteredTableStore(TableStore &store, Metrics &metrics);

    tl::expected<TableRow, StoreError> read(std::string_view key, Duration timeout) override;
    tl::expected<std::vector<TableRow>, StoreError> readRange(std::string_view first,
                                                              std::string_view last, uint32_t limit,
                                                              Duration timeout) override;
    tl::expected<TransactionResult, StoreError> transact(const TableTransaction &transaction,
                                                         Duration timeout) override;

private:
    template <typename Call>
    auto metered(std::string_view operation, Call call);

    TableStore &m_store;
    Metrics &m_metrics;
};

} // namespace gentianplank
