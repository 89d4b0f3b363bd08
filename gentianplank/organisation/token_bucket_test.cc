#include "gentianplank/organisation/token_bucket.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <vector>

namespace gentianplank {

namespace {

const Instant Start{std::chrono::seconds(1000)};

} // namespace

BOOST_AUTO_TEST_CASE(staysWithinRateAndBurstInEveryWindow)
{
    const bool ok = rc::check("tokens taken in every window stay within rate and burst", [] {
        const RateLimit limit{static_cast<double>(*rc::gen::inRange(1, 200)),
                              static_cast<double>(*rc::gen::inRange(1, 50))};
        TokenBucket bucket = makeTokenBucket(limit, Start);
        Instant now = Start;
        std::vector<Instant> taken;
        for (int i = 0; i < 200; ++i) {
            now += Duration(*rc::gen::inRange(0, 30000));
            if (tryTakeToken(bucket, now)) {
                taken.push_back(now);
            }
        }
        for (size_t i = 0; i < taken.size(); ++i) {
            for (size_t j = i; j < taken.size(); ++j) {
                const double seconds = static_cast<double>((taken[j] - taken[i]).count()) / 1e6;
                const double n = static_cast<double>(j - i + 1);
                RC_ASSERT(n <= limit.burst + seconds * limit.perSecond + 1e-6);
            }
        }
    });
    BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(timeToTokenMatchesNextToken)
{
    TokenBucket bucket = makeTokenBucket({10, 1}, Start);
    BOOST_TEST(tryTakeToken(bucket, Start));
    const Duration wait = timeToToken(bucket, Start);
    BOOST_TEST(!tryTakeToken(bucket, Start + wait - Duration(1000)));
    BOOST_TEST(tryTakeToken(bucket, Start + wait));
}

BOOST_AUTO_TEST_CASE(zeroLimitNeverAdmits)
{
    TokenBucket bucket = makeTokenBucket({0, 0}, Start);
    BOOST_TEST(!tryTakeToken(bucket, Start + std::chrono::hours(1)));
    BOOST_TEST((timeToToken(bucket, Start) == Duration::max()));
}

} // namespace gentianplank
