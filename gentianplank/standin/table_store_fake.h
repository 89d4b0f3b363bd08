// A table store in memory with switches for outages and lost answers, for tests.
//
//     TableStoreFake store;
//     store.loseNextAnswers(1);        // the next transaction takes effect but looks lost
#pragma once

#include "gentianplank/store/table_store.h"

#include <memory>

namespace gentianplank {

// Thread-safe.
class TableStoreFake : public TableStore
{
public:
    TableStoreFake();
    ~TableStoreFake() override;

    tl::expected<TableRow, StoreError> read(std::string_view key, Duration timeout) override;
    tl::expected<std::vector<TableRow>, StoreError> readRange(std::string_view first,
                                                              std::string_view last, uint32_t limit,
                                                              Duration timeout) override;
    tl::expected<TransactionResult, StoreError> transact(const TableTransaction &transaction,
                                                         Duration timeout) override;

    // While down, nothing takes effect and every call fails with Unavailable.
    void setDown(bool down);

    // The next n transactions take effect and fail with OutcomeUnknown.
    void loseNextAnswers(int n);

    // How many calls were served, by kind.
    uint64_t reads() const;
    uint64_t transactions() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
