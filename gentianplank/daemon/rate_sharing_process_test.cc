#include "gentianplank/daemon/testing/fleet_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace gentianplank {

namespace {

constexpr double Rate = 50;
constexpr double Burst = 20;
constexpr int SenderCount = 12;

FleetOptions rateLimitedFleet()
{
    FleetOptions options;
    options.ratePerSecond = static_cast<uint32_t>(Rate);
    options.burst = static_cast<uint32_t>(Burst);
    return options;
}

struct LoadResult
{
    int admitted = 0;
    int rateRefused = 0;
    // The most by which any window passed rate and burst, in statements.
    double excess = 0;
};

// When an admitted statement was sent and answered; its admission lies between.
struct AdmittedRequest
{
    Instant sentAt{};
    Instant answeredAt{};
};

// Counts in each window those that were certainly admitted in it.
double largestExcess(const std::vector<AdmittedRequest> &admitted)
{
    double excess = 0;
    for (const AdmittedRequest &first : admitted) {
        for (const AdmittedRequest &last : admitted) {
            if (last.answeredAt < first.sentAt) {
                continue;
            }
            const auto inside =
                std::count_if(admitted.begin(), admitted.end(), [&](const AdmittedRequest &it) {
                    return it.sentAt >= first.sentAt && it.answeredAt <= last.answeredAt;
                });
            const double window =
                static_cast<double>((last.answeredAt - first.sentAt).count()) / 1e6;
            excess = std::max(excess, static_cast<double>(inside) - Rate * window - Burst);
        }
    }
    return excess;
}

// Sends reads at a steady rate through one VM after the other, each for a while.
LoadResult sendLoad(const FleetFixture &fleet, double perSecond, Duration total, Duration dwellTime)
{
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::vector<AdmittedRequest> admitted;
    LoadResult count;
    const Instant start = steadyNow();
    const auto n = static_cast<int>(perSecond * static_cast<double>(total.count()) / 1e6);
    for (int sender = 0; sender < SenderCount; ++sender) {
        threads.emplace_back([&, sender] {
            std::vector<TestCaller> callers;
            for (size_t vm = 0; vm < 3; ++vm) {
                callers.push_back(fleet.caller(vm));
            }
            for (int i = sender; i < n; i += SenderCount) {
                const Duration due(static_cast<Duration::rep>(1e6 * i / perSecond));
                std::this_thread::sleep_until(start + due);
                const auto vm = static_cast<size_t>(due / dwellTime) % 3;
                const Instant sentAt = steadyNow();
                const auto reply = callers[vm].execute(getStatement("k"), "");
                const Instant answeredAt = steadyNow();
                const std::lock_guard lock(mutex);
                if (reply) {
                    admitted.push_back({sentAt, answeredAt});
                } else if (reply.error().reason == Reason::RateLimited) {
                    ++count.rateRefused;
                }
            }
        });
    }
    for (std::thread &it : threads) {
        it.join();
    }
    count.admitted = static_cast<int>(admitted.size());
    count.excess = largestExcess(admitted);
    return count;
}

} // namespace

BOOST_AUTO_TEST_CASE(loadInsideTheRateMovesBetweenVms)
{
    FleetFixture fleet(rateLimitedFleet());
    const LoadResult count =
        sendLoad(fleet, 40, std::chrono::seconds(6), std::chrono::milliseconds(700));
    BOOST_TEST_MESSAGE("admitted " << count.admitted << ", refused " << count.rateRefused);
    BOOST_TEST(count.admitted == 240);
    BOOST_TEST(count.rateRefused == 0);
    BOOST_TEST(count.excess <= 0);
}

BOOST_AUTO_TEST_CASE(loadAboveTheRateIsHeldToItOverAllVms)
{
    FleetFixture fleet(rateLimitedFleet());
    const LoadResult count =
        sendLoad(fleet, 150, std::chrono::seconds(5), std::chrono::milliseconds(300));
    BOOST_TEST_MESSAGE("admitted " << count.admitted << ", refused " << count.rateRefused
                                   << ", excess " << count.excess);
    BOOST_TEST(count.excess <= 0);
    BOOST_TEST(count.rateRefused > 0);
    // Three quarters of what one bucket in one place admits.
    BOOST_TEST(count.admitted >= 200);
}

BOOST_AUTO_TEST_CASE(theFirstRequestsOfAFleetAreNotRefused)
{
    FleetFixture fleet(rateLimitedFleet());
    for (size_t vm = 0; vm < 3; ++vm) {
        for (int i = 0; i < 5; ++i) {
            const auto reply = fleet.caller(vm).execute(getStatement("k"), "");
            BOOST_REQUIRE_MESSAGE(reply.has_value(), reply.error().message);
        }
    }
}

} // namespace gentianplank
