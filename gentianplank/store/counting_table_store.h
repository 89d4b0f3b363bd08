// A table store that forwards to another one and counts the calls by kind.
//
//     CountingTableStore store(platform.tables());
//     const StoreCallCounts calls = store.calls();
#pragma once

#include "gentianplank/store/table_store.h"

#include <atomic>
#include <cstdint>

namespace gentianplank {

struct StoreCallCounts
{
    uint64_t reads = 0;
    uint64_t rangeReads = 0;
    uint64_t transactions = 0;
};

// Thread-safe if the store is. The store must outlive it.
class CountingTableStore : public TableStore
{
public:
    explicit CountingTableStore(TableStore &store);

    tl::expected<TableRow, StoreError> read(std::string_view key, Duration timeout) override;
    tl::expected<std::vector<TableRow>, StoreError> readRange(std::string_view first,
                                                              std::string_view last, uint32_t limit,
                                                              Duration timeout) override;
    tl::expected<TransactionResult, StoreError> transact(const TableTransaction &transaction,
                                                         Duration timeout) override;

    // Returns the number of calls since construction, including failed ones.
    StoreCallCounts calls() const;

private:
    TableStore &m_store;
    std::atomic<uint64_t> m_reads{0};
    std::atomic<uint64_t> m_rangeReads{0};
    std::atomic<uint64_t> m_transactions{0};
};

} // namespace gentianplank
