#include "gentianplank/statement/retry_budget.h"

#include <algorithm>

namespace gentianplank {

void recordRequest(RetryBudget &budget)
{
    budget.saved = std::min(MostSavedRetries, budget.saved + RetriesPerRequest);
}

bool hasRetry(const RetryBudget &budget)
{
    return budget.saved >= 1;
}

bool consumeRetry(RetryBudget &budget)
{
    if (!hasRetry(budget)) {
        return false;
    }
    budget.saved -= 1;
    return true;
}

} // namespace gentianplank
