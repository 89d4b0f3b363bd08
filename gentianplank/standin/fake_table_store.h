// In-memory table store for tests that can simulate outages and lost answers.
//
//     FakeTableStore store;
//     store.loseNextAnswers(1);        // the next transaction commits but reports OutcomeUnknown
#pragma once

#include "gentianplank/store/table_store.h"

#include <memory>

namespace gentianplank {

// Thread-safe.
class FakeTableStore : public TableStore
{
public:
    FakeTableStore();
    ~FakeTableStore() override;

    tl::expected<TableRow, StoreError> read(std::string_view key, Duration timeout) override;
    tl::expected<std::vector<TableRow>, StoreError> readRange(std::string_view first,
                                                              std::string_view last, uint32_t limit,
                                                              Duration timeout) override;
    tl::expected<TransactionResult, StoreError> transact(const TableTransaction &transaction,
                                                         Duration timeout) override;

    // While down, every call fails with Unavailable and has no effect.
    void setDown(bool down);

    // Makes the next n transactions take effect but fail with OutcomeUnknown.
    void loseNextAnswers(int n);

    // Number of calls served while the store was up: reads of both kinds, and transactions.
    uint64_t reads() const;
    uint64_t transactions() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
