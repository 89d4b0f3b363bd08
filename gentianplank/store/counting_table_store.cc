#include "gentianplank/store/counting_table_store.h"

namespace gentianplank {

CountingTableStore::CountingTableStore(TableStore &store)
    : m_store(store)
{}

tl::expected<TableRow, StoreError> CountingTableStore::read(std::string_view key, Duration timeout)
{
    ++m_reads;
    return m_store.read(key, timeout);
}

tl::expected<std::vector<TableRow>, StoreError>
CountingTableStore::readRange(std::string_view first, std::string_view last, uint32_t limit,
                              Duration timeout)
{
    ++m_rangeReads;
    return m_store.readRange(first, last, limit, timeout);
}

tl::expected<TransactionResult, StoreError>
CountingTableStore::transact(const TableTransaction &transaction, Duration timeout)
{
    ++m_transactions;
    return m_store.transact(transaction, timeout);
}

StoreCallCounts CountingTableStore::calls() const
{
    return {m_reads, m_rangeReads, m_transactions};
}

} // namespace gentianplank
