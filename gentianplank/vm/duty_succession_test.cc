#include "gentianplank/vm/duty_succession.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

const BootInstant Now{std::chrono::seconds(1000)};

} // namespace

// Guards against all successors claiming a duty at once when its holder leaves or a fleet starts.
BOOST_AUTO_TEST_CASE(vacantDutyIsClaimedInOrderOfSuccession)
{
    const auto mayClaim = [](size_t successionRank, Duration since) {
        // The holder was last heard long ago, since a holder that is gone is not probed.
        return mayClaimDuty({true, Now - since, Now - 60s, successionRank}, Now);
    };
    BOOST_TEST(mayClaim(0, 0ms));
    BOOST_TEST(!mayClaim(1, 0ms));
    BOOST_TEST(!mayClaim(1, 399ms));
    BOOST_TEST(mayClaim(1, 400ms));
    BOOST_TEST(!mayClaim(2, 700ms));
    BOOST_TEST(mayClaim(2, 800ms));
}

BOOST_AUTO_TEST_CASE(dutyOfSilentHolderIsClaimableOnlyAfterTimeout)
{
    const auto mayClaim = [](size_t successionRank, Duration silence) {
        return mayClaimDuty({false, {}, Now - silence, successionRank}, Now);
    };
    BOOST_TEST(!mayClaim(0, 1400ms));
    BOOST_TEST(mayClaim(0, 1500ms));
    BOOST_TEST(!mayClaim(1, 1800ms));
    BOOST_TEST(mayClaim(1, 1900ms));
}
