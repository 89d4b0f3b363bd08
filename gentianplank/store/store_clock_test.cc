#include "gentianplank/store/store_clock.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

const BootInstant Start(5000s);
// The store's clock started at another time.
constexpr Duration Difference = 4000s;

Duration storeTimeAt(BootInstant at)
{
    return at.time_since_epoch() - Difference;
}

} // namespace

BOOST_AUTO_TEST_CASE(theFirstAnswerProvesNothingAfterItsCall)
{
    StoreClock clock;
    BOOST_TEST(
        (answerTimeLowerBound(clock, Start, storeTimeAt(Start + 900ms), Start + 901ms) == Start));
}

BOOST_AUTO_TEST_CASE(aQuickExchangeTellsWhenALongOneWasAnswered)
{
    StoreClock clock;
    noteExchange(clock, Start, storeTimeAt(Start + 4ms), Start + 8ms);
    const BootInstant at =
        answerTimeLowerBound(clock, Start + 1s, storeTimeAt(Start + 3s), Start + 3004ms);
    BOOST_TEST((at <= Start + 3s));
    BOOST_TEST((at >= Start + 3s - 10ms));
}

// A key used too long: whatever the delays, a proof is never younger than the answer.
BOOST_AUTO_TEST_CASE(aProofIsNeverYoungerThanItsAnswer)
{
    std::mt19937 random(3);
    StoreClock clock;
    BootInstant now = Start;
    for (int i = 0; i < 20000; ++i) {
        const BootInstant sentAt = now;
        const BootInstant answeredAt = sentAt + std::chrono::microseconds(random() % 3000000);
        const BootInstant receivedAt = answeredAt + std::chrono::microseconds(random() % 300000);
        const BootInstant at =
            answerTimeLowerBound(clock, sentAt, storeTimeAt(answeredAt), receivedAt);
        BOOST_REQUIRE((at <= answeredAt));
        BOOST_REQUIRE((at >= sentAt));
        now = receivedAt;
    }
}

BOOST_AUTO_TEST_CASE(aStoreWithAnotherClockIsNotTakenForTheOldOne)
{
    StoreClock clock;
    noteExchange(clock, Start, storeTimeAt(Start + 4ms), Start + 8ms);
    // The store's clock is an hour ahead of what it was.
    const BootInstant at =
        answerTimeLowerBound(clock, Start + 1s, storeTimeAt(Start + 2s) + 3600s, Start + 2004ms);
    BOOST_TEST((at == Start + 1s));
}
