#include "gentianplank/vm/duty_succession.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

const BootInstant Now{std::chrono::seconds(1000)};

} // namespace

// Pattern: when a holder left, or a fleet started, all VMs in line tried to take the duty at once.
BOOST_AUTO_TEST_CASE(aDutyThatIsFreeIsTakenInTurn)
{
    const auto may = [](size_t rank, Duration since) {
        // The holder was heard long ago, since nobody asks one that is gone.
        return mayClaimDuty({true, Now - since, Now - 60s, rank}, Now);
    };
    BOOST_TEST(may(0, 0ms));
    BOOST_TEST(!may(1, 0ms));
    BOOST_TEST(!may(1, 399ms));
    BOOST_TEST(may(1, 400ms));
    BOOST_TEST(!may(2, 700ms));
    BOOST_TEST(may(2, 800ms));
}

BOOST_AUTO_TEST_CASE(aSilentHolderKeepsTheDutyForAWhile)
{
    const auto may = [](size_t rank, Duration silence) {
        return mayClaimDuty({false, {}, Now - silence, rank}, Now);
    };
    BOOST_TEST(!may(0, 1400ms));
    BOOST_TEST(may(0, 1500ms));
    BOOST_TEST(!may(1, 1800ms));
    BOOST_TEST(may(1, 1900ms));
}
