#include "gentianplank/metrics/metered_store.h"

namespace gentianplank {

namespace {

std::string_view nameOf(StoreError error)
{
    return error == StoreError::Unavailable ? "unavailable" : "unknown";
}

} // namespace

template <typename Call>
auto MeteredTableStore::metered(std::string_view operation, Call call)
{
    const Instant start = steadyNow();
    auto result = call();
    m_metrics.storeCalled(operation, result ? "ok" : nameOf(result.error()), steadyNow() - start);
    return result;
}

MeteredTableStore::MeteredTableStore(TableStore &store, Metrics &metrics)
    : m_store(store)
    , m_metrics(metrics)
{}

tl::expected<TableRow, StoreError> MeteredTableStore::read(std::string_view key, Duration timeout)
{
    return metered("read", [&] { return m_store.read(key, timeout); });
}

tl::expected<std::vector<TableRow>, StoreError> MeteredTableStore::readRange(std::string_view first,
                                                                             std::string_view last,
                                                                             uint32_t limit,
                                                                             Duration timeout)
{
    return metered("read_range", [&] { return m_store.readRange(first, last, limit, timeout); });
}

tl::expected<TransactionResult, StoreError>
MeteredTableStore::transact(const TableTransaction &transaction, Duration timeout)
{
    return metered("transact", [&] { return m_store.transact(transaction, timeout); });
}

} // namespace gentianplank
