#include "gentianplank/settings/derived_times.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

EntryVmSettings settingsWith(Duration revocation, Duration drain, Duration configuration)
{
    EntryVmSettings settings;
    settings.revocationLimit = revocation;
    settings.drainLimit = drain;
    settings.configurationLimit = configuration;
    return settings;
}

} // namespace

// Guards against a long-poll timeout that ignores the revocation limit: the store used to wait
// 2.9 s, so with a limit of 2 s the proof expired during every wait.
BOOST_AUTO_TEST_CASE(configurationProofIsRenewedWithinRevocationLimit)
{
    for (const Duration limit : {1500ms, 2000ms, 3000ms, 5000ms, 10'000ms, 60'000ms}) {
        const DerivedTimes times = derivedTimes(settingsWith(limit, 7s, 4s));
        BOOST_TEST((times.configurationProofLifetime < limit));
        BOOST_TEST((times.configurationFeedWait + 700ms < times.configurationProofLifetime));
        BOOST_TEST((times.configurationFeedWait > 0ms));
    }
}

// Guards against old proofs at the start of a store outage: in an outage of 4 s, proofs were
// already up to 2.9 s old, so statements were refused from 1.8 s on.
BOOST_AUTO_TEST_CASE(configurationProofIsRecentWhenStoreBecomesUnreachable)
{
    for (const Duration limit : {5000ms, 10'000ms, 60'000ms}) {
        const DerivedTimes times = derivedTimes(settingsWith(limit, 7s, 4s));
        // 100 ms for the reply's path over two relays; three fifths of the limit remain.
        BOOST_TEST((times.configurationProofLifetime - times.configurationFeedWait - 100ms >=
                    limit * 3 / 5));
    }
}

// Guards against exceeding a rate during a partition: shares grew 5.2 s after a change, but with a
// revocation limit of 10 s an isolated VM used its old share for another 4.5 s.
BOOST_AUTO_TEST_CASE(rateShareGrowsOnlyAfterOldProofsExpire)
{
    for (const Duration limit : {1500ms, 5000ms, 10'000ms, 60'000ms}) {
        const DerivedTimes times = derivedTimes(settingsWith(limit, 7s, 4s));
        BOOST_TEST((times.rateIncreaseDelay > times.configurationProofLifetime));
    }
}

// Guards against using a leaving member past its drain limit: the mark was noticed up to 4 s late
// and the member used until 2 s before the limit, which is too late for a limit of 4 s.
BOOST_AUTO_TEST_CASE(leavingMemberGetsNoWorkAfterDrainLimit)
{
    for (const Duration limit : {2000ms, 4000ms, 7000ms, 30'000ms}) {
        const DerivedTimes times = derivedTimes(settingsWith(5s, limit, 4s));
        BOOST_TEST((times.memberFeedWait < limit));
        BOOST_TEST((times.leavingPrimaryUse < limit));
        BOOST_TEST((times.leavingPrimaryUse >= limit / 2));
    }
}

BOOST_AUTO_TEST_CASE(loweredRateIsEnforcedWithinHalfOfConfigurationLimit)
{
    for (const Duration limit : {1000ms, 2500ms, 4000ms, 16'000ms}) {
        BOOST_TEST((derivedTimes(settingsWith(5s, 7s, limit)).rateReductionTime <= limit / 2));
    }
}

BOOST_AUTO_TEST_CASE(tooShortBoundsAreReported)
{
    BOOST_TEST(tooShortBounds(settingsWith(5s, 7s, 4s)).empty());
    const auto tight = tooShortBounds(settingsWith(500ms, 1s, 4s));
    BOOST_REQUIRE(tight.size() == 2U);
    BOOST_TEST(tight.front() == "revocation limit: 500 ms, less than 1500 ms");
}
