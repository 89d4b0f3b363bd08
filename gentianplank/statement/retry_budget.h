// Limits retries to a fraction of the load, so that a failure doesn't multiply it.
//
//     recordRequest(budget);                       // for each first attempt
//     if (consumeRetry(budget)) { ...send again... }
#pragma once

namespace gentianplank {

// Retries that each request adds to the budget; retries stay within a tenth of the load.
inline constexpr double RetriesPerRequest = 0.1;

// The largest number of saved retries, and the number in a new budget.
inline constexpr double MaxSavedRetries = 10;

// A plain value; not thread-safe.
struct RetryBudget
{
    double savedRetries = MaxSavedRetries;
};

// Records a first attempt, which adds to the budget. Deterministic.
void recordRequest(RetryBudget &budget);

// Whether the budget allows a retry now. Deterministic.
bool hasRetry(const RetryBudget &budget);

// Takes a retry from the budget; returns false and changes nothing if none is left. Deterministic.
bool consumeRetry(RetryBudget &budget);

} // namespace gentianplank
