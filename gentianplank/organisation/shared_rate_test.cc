#include "gentianplank/organisation/shared_rate.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

const Instant Start(1000s);

SharedRate rateOf(double perSecond, double burst, Instant now = Start)
{
    SharedRate rate;
    rate.filledAt = now;
    rate.demandAt = now;
    setPart(rate, {perSecond, burst}, now, {0ms, 2s});
    return rate;
}

int takeAll(SharedRate &rate, Instant now)
{
    int n = 0;
    while (tryTakeToken(rate, now)) {
        ++n;
    }
    return n;
}

} // namespace

BOOST_AUTO_TEST_CASE(aPartFillsToItsBurst)
{
    SharedRate rate = rateOf(10, 5);
    BOOST_TEST(takeAll(rate, Start) == 0);
    BOOST_TEST(takeAll(rate, Start + 200ms) == 2);
    BOOST_TEST(takeAll(rate, Start + 60s) == 5);
}

BOOST_AUTO_TEST_CASE(aPartThatGrowsDoesSoWhenOthersHaveStopped)
{
    SharedRate rate = rateOf(10, 5);
    setPart(rate, {20, 10}, Start, {5s, 2s});
    BOOST_TEST(takeAll(rate, Start + 4900ms) == 5);
    BOOST_TEST(takeAll(rate, Start + 10s) == 10);
}

BOOST_AUTO_TEST_CASE(aLoweredPartFillsLessAtOnceAndLosesItsTokensSoon)
{
    SharedRate rate = rateOf(10, 50);
    BOOST_TEST(takeAll(rate, Start + 1s) == 10);
    const Instant lowered = Start + 60s;
    setPart(rate, {1, 5}, lowered, {5s, 2s});
    SharedRate used = rate;
    BOOST_TEST(takeAll(used, lowered) == 50);
    BOOST_TEST(takeAll(rate, lowered + 2s) == 5);
}

BOOST_AUTO_TEST_CASE(tokensThatAreNotNeededAreGivenUp)
{
    SharedRate rate = rateOf(10, 20);
    BOOST_TEST(giveTokens(rate, "vm-2", 8, 8, Start + 10s) == 8);
    BOOST_TEST(giveTokens(rate, "vm-2", 100, 8, Start + 10s) == 12);
    BOOST_TEST(takeAll(rate, Start + 10s) == 0);
}

// Zones served unevenly: of more operations than the rate allows, each VM must admit a like share,
// though one has three times the demand of the other.
BOOST_AUTO_TEST_CASE(aContestedPartIsDividedByDemand)
{
    SharedRate rate = rateOf(100, 100);
    double given = 0;
    int taken = 0;
    Instant now = Start;
    for (int i = 0; i < 400; ++i) {
        now += 25ms;
        // This VM asks for 200 a second, the other for 600.
        for (int n = 0; n < 5; ++n) {
            taken += tryTakeToken(rate, now) ? 1 : 0;
        }
        if (i % 8 == 0) {
            given += giveTokens(rate, "vm-2", 240, 600, now);
        }
    }
    BOOST_TEST(taken + given <= 1001);
    BOOST_TEST(given > 2.4 * taken);
    BOOST_TEST(given < 3.6 * taken);
}

// A part nobody needs at the moment: nothing is divided by a demand of nothing.
BOOST_AUTO_TEST_CASE(aClaimWithoutDemandTakesNothing)
{
    SharedRate rate = rateOf(10, 5);
    giveTokens(rate, "vm-2", 0, 0, Start);
    BOOST_TEST(takeAll(rate, Start + 500ms) == 5);
}

// Small rates on many VMs: none may hold a token that it does not need.
BOOST_AUTO_TEST_CASE(aVmThatIsRarelyAskedHoldsNothingInAdvance)
{
    SharedRate rate = rateOf(0, 0);
    BOOST_TEST(!tryTakeToken(rate, Start));
    BOOST_TEST(tokensWanted(rate, 1, Start) == 1);
    receiveTokens(rate, 1, Start);
    BOOST_TEST(tryTakeToken(rate, Start));
    BOOST_TEST(tokensWanted(rate, 0, Start) == 0);
}

// Seven VMs that hand tokens to each other over links that delay and lose messages stay within the
// users' bound together.
BOOST_AUTO_TEST_CASE(theSumOverAllVmsStaysWithinRateAndBurst)
{
    constexpr int vmCount = 7;
    std::mt19937 random(11);
    for (int run = 0; run < 20; ++run) {
        std::vector<SharedRate> rates(vmCount, rateOf(70.0 / vmCount, 70.0 / vmCount));
        struct Message
        {
            int to;
            double tokens;
            Instant at;
        };
        std::deque<Message> messages;
        std::deque<Instant> admitted;
        for (Instant now = Start; now < Start + 30s; now += 10ms) {
            for (int vm = 0; vm < vmCount; ++vm) {
                const int demand = vm == run % vmCount ? 4 : 1;
                for (int n = 0; n < demand; ++n) {
                    if (random() % 3 == 0 && tryTakeToken(rates[vm], now)) {
                        admitted.push_back(now);
                    }
                }
                const double wanted = tokensWanted(rates[vm], 1, now);
                const int giver = static_cast<int>(random() % vmCount);
                if (wanted > 0 && giver != vm && random() % 8 == 0) {
                    const double given =
                        giveTokens(rates[giver], std::to_string(vm), wanted, rates[vm].demand, now);
                    if (random() % 10 != 0) {
                        messages.push_back(
                            {vm, given, now + std::chrono::milliseconds(random() % 200)});
                    }
                }
            }
            while (!messages.empty() && messages.front().at <= now) {
                receiveTokens(rates[messages.front().to], messages.front().tokens, now);
                messages.pop_front();
            }
            while (!admitted.empty() && admitted.front() <= now - 5s) {
                admitted.pop_front();
            }
            // The users' bound for any five seconds: a tenth above the rate's tokens and the
            // burst's, and 20.
            BOOST_REQUIRE(admitted.size() <= (5 * 70 + 70) * 11 / 10 + 20);
        }
    }
}
