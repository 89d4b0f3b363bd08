#include "gentianplank/vm/stop_schedule.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

// The longest that a statement of today's routes may take.
constexpr Duration Longest = 1200ms;

} // namespace

// Pattern: with a grace of 3 s, the pause for the balancer and the margin before the kill were the
// whole grace; statements that members had run were closed without an answer after 2.3 s.
BOOST_AUTO_TEST_CASE(aStatementTakenBeforeSessionsCloseHasItsAnswerWithinAnyGrace)
{
    for (const Duration grace : {2500ms, 3000ms, 4000ms, 6000ms, 10'000ms, 60'000ms}) {
        const StopSchedule schedule = stopSchedule(grace, Longest);
        BOOST_TEST(!schedule.isTooShort);
        BOOST_TEST((schedule.closeSessions + Longest <= schedule.lastAnswer));
        BOOST_TEST((schedule.handOver + Longest <= schedule.lastAnswer));
        BOOST_TEST((schedule.lastAnswer < schedule.end));
        BOOST_TEST((schedule.end < grace));
    }
}

// A member may be at work until the last sixth of the grace on what came before.
BOOST_AUTO_TEST_CASE(answersAreTakenUntilTheLastSixthOfTheGrace)
{
    for (const Duration grace : {1000ms, 2500ms, 3000ms, 6000ms, 30'000ms}) {
        BOOST_TEST((stopSchedule(grace, Longest).lastAnswer >= grace * 5 / 6));
    }
}

BOOST_AUTO_TEST_CASE(openTransactionsHaveTheFirstHalfOfTheGrace)
{
    BOOST_TEST((stopSchedule(3000ms, Longest).endTransactions == 1500ms));
    BOOST_TEST((stopSchedule(10'000ms, Longest).endTransactions == 5000ms));
}

BOOST_AUTO_TEST_CASE(withTimeEnoughTheBalancerHasItsPause)
{
    const StopSchedule schedule = stopSchedule(6000ms, Longest);
    BOOST_TEST((schedule.closeSessions == 2300ms));
    BOOST_TEST((schedule.handOver == 1800ms));
    BOOST_TEST((schedule.end > 5300ms));
}

BOOST_AUTO_TEST_CASE(aGraceTooShortForTheLongestStatementSaysSo)
{
    const StopSchedule schedule = stopSchedule(1000ms, Longest);
    BOOST_TEST(schedule.isTooShort);
    BOOST_TEST((schedule.closeSessions == 250ms));
    BOOST_TEST((schedule.lastAnswer < schedule.end));
}
