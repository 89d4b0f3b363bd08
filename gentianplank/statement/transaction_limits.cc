#include "gentianplank/statement/transaction_limits.h"

namespace gentianplank {

namespace {

constexpr Duration RetryAfterHint = std::chrono::milliseconds(200);

} // namespace

std::optional<Refusal> expiryRefusal(const TransactionAge &age, const GroupView &view, Instant now)
{
    if (highestTerm(view) > age.term) {
        return refuse(Reason::Aborted, ExecutionOutcome::NotRun,
                      "the primary changed; the transaction is rolled back", RetryAfterHint);
    }
    if (now - age.lastStepAt >= TransactionIdleLimit) {
        return refuse(Reason::Aborted, ExecutionOutcome::NotRun,
                      "the transaction exceeded its idle limit and is rolled back");
    }
    if (now - age.startedAt >= TransactionLifetime) {
        return refuse(Reason::Aborted, ExecutionOutcome::NotRun,
                      "the transaction exceeded its lifetime and is rolled back");
    }
    if (now >= age.deadline) {
        return refuse(Reason::Deadline, ExecutionOutcome::NotRun,
                      "the transaction's deadline passed and it is rolled back");
    }
    return std::nullopt;
}

} // namespace gentianplank
