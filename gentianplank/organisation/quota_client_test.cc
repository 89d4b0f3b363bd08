#include "gentianplank/organisation/quota_client.h"

#include <boost/test/unit_test.hpp>

namespace gentianplank {

BOOST_AUTO_TEST_CASE(silentHomeIsExpectedToBeReplacedOnlyLater)
{
    const Instant start{std::chrono::seconds(1000)};
    const Instant soon = start + std::chrono::seconds(4);
    QuotaClient borrower = makeQuotaClient({"vm-1", 1}, start);
    BOOST_TEST((answerExpectedBy(borrower, start) <= soon));
    Instant now = start;
    for (int i = 0; i < 3; ++i) {
        now += std::chrono::milliseconds(300);
        noteArrival(borrower, now);
        borrower.askedAt = now;
        onRequestFailed(borrower);
    }
    // A statement with this deadline can't be served any more; one with a later deadline may wait.
    BOOST_TEST((answerExpectedBy(borrower, now) > soon));
    BOOST_TEST((answerExpectedBy(borrower, now) < start + std::chrono::seconds(10)));
}

} // namespace gentianplank
