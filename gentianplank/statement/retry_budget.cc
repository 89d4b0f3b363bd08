#include "gentianplank/statement/retry_budget.h"

#include <algorithm>

namespace gentianplank {

void recordRequest(RetryBudget &budget)
{
    budget.savedRetries = std::min(MaxSavedRetries, budget.savedRetries + RetriesPerRequest);
}

bool hasRetry(const RetryBudget &budget)
{
    return budget.savedRetries >= 1;
}

bool consumeRetry(RetryBudget &budget)
{
    if (!hasRetry(budget)) {
        return false;
    }
    budget.savedRetries -= 1;
    return true;
}

} // namespace gentianplank
