#include "gentianplank/statement/retry_budget.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <vector>

namespace gentianplank {

BOOST_AUTO_TEST_CASE(retriesStayWithinATenthOfRequestsPlusSavedRetries)
{
    const bool ok = rc::check("retry bound", [] {
        RetryBudget budget;
        double requests = 0;
        double retries = 0;
        for (const bool isRequest : *rc::gen::container<std::vector<bool>>(
                 2000, rc::gen::weightedElement<bool>({{1, true}, {2, false}}))) {
            if (isRequest) {
                recordRequest(budget);
                requests += 1;
            } else {
                retries += consumeRetry(budget) ? 1 : 0;
            }
            RC_ASSERT(retries <= requests * RetriesPerRequest + MaxSavedRetries + 1e-6);
        }
        // With twice as many attempted retries as requests, nearly all the earned ones are
        // consumed.
        RC_ASSERT(retries >= requests * RetriesPerRequest);
    });
    BOOST_TEST(ok);
}

} // namespace gentianplank
