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
    // The largest number of statements admitted in a window above rate x window + burst.
    double excess = 0;
};

// An admitted statement. Its admission lies between the time of sending and that of the answer.
struct AdmittedRequest
{
    Instant sentAt{};
    Instant answeredAt{};
};

// Counts in each window only the statements that were certainly admitted in it.
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

// Sends reads at a constant rate through one VM after the other, for `dwellTime` each.
LoadResult sendLoad(const FleetFixture &fleet, double perSecond, Duration total, Duration dwellTime)
{
    std::vector<std::thread> threads;
    std::mutex mutex;
    std::vector<AdmittedRequest> admitted;
    LoadResult result;
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
                    ++result.rateRefused;
                }
            }
        });
    }
    for (std::thread &it : threads) {
        it.join();
    }
    result.admitted = static_cast<int>(admitted.size());
    result.excess = largestExcess(admitted);
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(loadWithinRateIsAdmittedWhileMovingBetweenVms)
{
    FleetFixture fleet(rateLimitedFleet());
    const LoadResult result =
        sendLoad(fleet, 40, std::chrono::seconds(6), std::chrono::milliseconds(700));
    BOOST_TEST_MESSAGE("admitted " << result.admitted << ", refused " << result.rateRefused);
    BOOST_TEST(result.admitted == 240);
    BOOST_TEST(result.rateRefused == 0);
    BOOST_TEST(result.excess <= 0);
}

BOOST_AUTO_TEST_CASE(loadAboveRateIsLimitedAcrossAllVms)
{
    FleetFixture fleet(rateLimitedFleet());
    const LoadResult result =
        sendLoad(fleet, 150, std::chrono::seconds(5), std::chrono::milliseconds(300));
    BOOST_TEST_MESSAGE("admitted " << result.admitted << ", refused " << result.rateRefused
                                   << ", excess " << result.excess);
    BOOST_TEST(result.excess <= 0);
    BOOST_TEST(result.rateRefused > 0);
    // Three quarters of what a single token bucket admits.
    BOOST_TEST(result.admitted >= 200);
}

// A VM holds no quota slice before its first request, which must wait for one and not be refused.
BOOST_AUTO_TEST_CASE(firstRequestsAreAdmittedOnEveryVm)
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
