#include "gentianplank/standin/fake_table_store.h"

#include "gentianplank/standin/tables.h"

#include <mutex>

namespace gentianplank {

struct FakeTableStore::State
{
    mutable std::mutex mutex;
    Tables tables;
    bool down = false;
    int answersToLose = 0;
    uint64_t reads = 0;
    uint64_t transactions = 0;
};

FakeTableStore::FakeTableStore()
    : m_state(std::make_unique<State>())
{}

FakeTableStore::~FakeTableStore() = default;

tl::expected<TableRow, StoreError> FakeTableStore::read(std::string_view key, Duration)
{
    const std::lock_guard lock(m_state->mutex);
    if (m_state->down) {
        return tl::unexpected(StoreError::Unavailable);
    }
    ++m_state->reads;
    return readRow(m_state->tables, key);
}

tl::expected<std::vector<TableRow>, StoreError>
FakeTableStore::readRange(std::string_view first, std::string_view last, uint32_t limit, Duration)
{
    const std::lock_guard lock(m_state->mutex);
    if (m_state->down) {
        return tl::unexpected(StoreError::Unavailable);
    }
    ++m_state->reads;
    return readRows(m_state->tables, first, last, limit);
}

tl::expected<TransactionResult, StoreError>
FakeTableStore::transact(const TableTransaction &transaction, Duration)
{
    const std::lock_guard lock(m_state->mutex);
    if (m_state->down) {
        return tl::unexpected(StoreError::Unavailable);
    }
    ++m_state->transactions;
    const TransactionResult result = applyTransaction(m_state->tables, transaction);
    if (m_state->answersToLose > 0) {
        --m_state->answersToLose;
        return tl::unexpected(StoreError::OutcomeUnknown);
    }
    return result;
}

void FakeTableStore::setDown(bool down)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->down = down;
}

void FakeTableStore::loseNextAnswers(int n)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->answersToLose = n;
}

uint64_t FakeTableStore::reads() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->reads;
}

uint64_t FakeTableStore::transactions() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->transactions;
}

} // namespace gentianplank
