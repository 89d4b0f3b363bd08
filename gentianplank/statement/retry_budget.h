// Bounds retries to a share of the load, so that a failure doesn't multiply it.
//
//     recordRequest(budget);                       // each first attempt
//     if (consumeRetry(budget)) { ...send again... }
#pragma once

namespace gentianplank {

// Retries a request earns; with it, retries stay within a tenth of the load.
inline constexpr double RetriesPerRequest = 0.1;

// What may be saved up, and what a new budget holds.
inline constexpr double MostSavedRetries = 10;

// A plain value.
struct RetryBudget
{
    double saved = MostSavedRetries;
};

// Counts a first attempt. Deterministic.
void recordRequest(RetryBudget &budget);

// Whether a retry may be made now. Deterministic.
bool hasRetry(const RetryBudget &budget);

// Takes a retry; false, changing nothing, when none is left. Deterministic.
bool consumeRetry(RetryBudget &budget);

} // namespace gentianplank
