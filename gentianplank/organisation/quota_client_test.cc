#include "gentianplank/organisation/quota_client.h"

#include <boost/test/unit_test.hpp>

namespace gentianplank {

BOOST_AUTO_TEST_CASE(expectsReplyOnlyAfterFailoverWhenOwnersAreSilent)
{
    const Instant start{std::chrono::seconds(1000)};
    const Instant earlyDeadline = start + std::chrono::seconds(4);
    QuotaClient client = makeQuotaClient({"vm-1", 1}, start);
    BOOST_TEST((replyExpectedBy(client, start) <= earlyDeadline));
    Instant now = start;
    for (int i = 0; i < 3; ++i) {
        now += std::chrono::milliseconds(300);
        recordArrival(client, now);
        client.requestedAt = now;
        onRequestFailed(client);
    }
    // A statement with this deadline can't be served any more; one with a later deadline may wait.
    BOOST_TEST((replyExpectedBy(client, now) > earlyDeadline));
    BOOST_TEST((replyExpectedBy(client, now) < start + std::chrono::seconds(10)));
}

} // namespace gentianplank
