#include "gentianplank/store/store_clock.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

const BootInstant Start(5000s);
// The offset between the clocks, which have different epochs.
constexpr Duration Difference = 4000s;

Duration storeTimeAt(BootInstant at)
{
    return at.time_since_epoch() - Difference;
}

} // namespace

BOOST_AUTO_TEST_CASE(firstAnswerTimeIsBoundedByRequestTime)
{
    StoreClock clock;
    BOOST_TEST(
        (answerTimeLowerBound(clock, Start, storeTimeAt(Start + 900ms), Start + 901ms) == Start));
}

BOOST_AUTO_TEST_CASE(shortExchangeBoundsAnswerTimeOfLongPoll)
{
    StoreClock clock;
    recordExchange(clock, Start, storeTimeAt(Start + 4ms), Start + 8ms);
    const BootInstant at =
        answerTimeLowerBound(clock, Start + 1s, storeTimeAt(Start + 3s), Start + 3004ms);
    BOOST_TEST((at <= Start + 3s));
    BOOST_TEST((at >= Start + 3s - 10ms));
}

// Guards against the use of a withdrawn key: a bound after the time of the answer would let a VM
// rely on outdated configuration for too long. The bound must hold for any delays.
BOOST_AUTO_TEST_CASE(lowerBoundNeverExceedsAnswerTime)
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

BOOST_AUTO_TEST_CASE(changedStoreClockDiscardsEarlierSamples)
{
    StoreClock clock;
    recordExchange(clock, Start, storeTimeAt(Start + 4ms), Start + 8ms);
    // The store's clock has jumped ahead by an hour.
    const BootInstant at =
        answerTimeLowerBound(clock, Start + 1s, storeTimeAt(Start + 2s) + 3600s, Start + 2004ms);
    BOOST_TEST((at == Start + 1s));
}
