#include "gentianplank/vm/stop_schedule.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

// The longest time that a statement may take on the configured routes.
constexpr Duration LongestStatement = 1200ms;

} // namespace

// Guards against statements that get no answer: with a grace period of 3 s, the drain time of the
// load balancer and the margin before the kill used up the whole period, and sessions were closed
// after 2.3 s although members had run their statements.
BOOST_AUTO_TEST_CASE(statementAcceptedBeforeSessionsCloseIsAnsweredWithinGrace)
{
    for (const Duration grace : {2500ms, 3000ms, 4000ms, 6000ms, 10'000ms, 60'000ms}) {
        const StopSchedule schedule = stopSchedule(grace, LongestStatement);
        BOOST_TEST(!schedule.isTooShort);
        BOOST_TEST((schedule.closeSessions + LongestStatement <= schedule.lastAnswer));
        BOOST_TEST((schedule.handOver + LongestStatement <= schedule.lastAnswer));
        BOOST_TEST((schedule.lastAnswer < schedule.end));
        BOOST_TEST((schedule.end < grace));
    }
}

// Members may work on accepted statements until the last sixth of the grace period.
BOOST_AUTO_TEST_CASE(lastAnswerIsInTheLastSixthOfTheGrace)
{
    for (const Duration grace : {1000ms, 2500ms, 3000ms, 6000ms, 30'000ms}) {
        BOOST_TEST((stopSchedule(grace, LongestStatement).lastAnswer >= grace * 5 / 6));
    }
}

BOOST_AUTO_TEST_CASE(openTransactionsEndAtHalfOfTheGrace)
{
    BOOST_TEST((stopSchedule(3000ms, LongestStatement).endTransactions == 1500ms));
    BOOST_TEST((stopSchedule(10'000ms, LongestStatement).endTransactions == 5000ms));
}

BOOST_AUTO_TEST_CASE(longGraceCoversTheDrainTimeOfTheBalancer)
{
    const StopSchedule schedule = stopSchedule(6000ms, LongestStatement);
    BOOST_TEST((schedule.closeSessions == 2300ms));
    BOOST_TEST((schedule.handOver == 1800ms));
    BOOST_TEST((schedule.end > 5300ms));
}

BOOST_AUTO_TEST_CASE(scheduleReportsGraceTooShortForLongestStatement)
{
    const StopSchedule schedule = stopSchedule(1000ms, LongestStatement);
    BOOST_TEST(schedule.isTooShort);
    BOOST_TEST((schedule.closeSessions == 250ms));
    BOOST_TEST((schedule.lastAnswer < schedule.end));
}
