#include "gentianplank/organisation/admission.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>
#include <vector>

namespace gentianplank {

namespace {

constexpr int NoisyThreads = 16;
constexpr int QuietRequests = 40;

AdmissionRequest requestWithin(Duration patience)
{
    return {"g/a", "dredge-co", 1, 1, steadyNow() + patience};
}

} // namespace

BOOST_AUTO_TEST_CASE(admitsNoMoreThanSlotsAndRefusesAtDeadline)
{
    Admission admission(10);
    auto first = admission.acquireSlot(requestWithin(std::chrono::seconds(5)), 2);
    auto second = admission.acquireSlot(requestWithin(std::chrono::seconds(5)), 2);
    BOOST_REQUIRE(first.has_value());
    BOOST_REQUIRE(second.has_value());
    const auto third = admission.acquireSlot(requestWithin(std::chrono::milliseconds(20)), 2);
    BOOST_REQUIRE(!third.has_value());
    BOOST_TEST((third.error().reason == Reason::Deadline));
    BOOST_TEST((third.error().outcome == ExecutionOutcome::NotRun));
}

BOOST_AUTO_TEST_CASE(freedSlotGoesToWaitingRequest)
{
    Admission admission(10);
    auto first = std::make_unique<tl::expected<AdmissionTicket, Refusal>>(
        admission.acquireSlot(requestWithin(std::chrono::seconds(5)), 1));
    bool admitted = false;
    std::thread waiter([&] {
        admitted = admission.acquireSlot(requestWithin(std::chrono::seconds(20)), 1).has_value();
    });
    while (admission.waiting("g/a") == 0) {
        std::this_thread::yield();
    }
    first.reset();
    waiter.join();
    BOOST_TEST(admitted);
}

BOOST_AUTO_TEST_CASE(fullQueueRefusesImmediately)
{
    Admission admission(0);
    const auto result = admission.acquireSlot(requestWithin(std::chrono::seconds(5)), 1);
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().reason == Reason::Overloaded));
}

BOOST_AUTO_TEST_CASE(quietOrganisationIsNotQueuedBehindNoisyOne)
{
    Admission admission(1000);
    std::atomic<bool> stop{false};
    std::atomic<int> started{0};
    std::vector<std::thread> noisy;
    for (int i = 0; i < NoisyThreads; ++i) {
        noisy.emplace_back([&] {
            while (!stop) {
                const auto ticket = admission.acquireSlot(
                    {"g/a", "noisy", 1, 1, steadyNow() + std::chrono::seconds(30)}, 2);
                ++started;
                std::this_thread::sleep_for(std::chrono::milliseconds(2));
            }
        });
    }
    while (admission.waiting("g/a") < NoisyThreads - 2) {
        std::this_thread::yield();
    }
    int passed = 0;
    for (int i = 0; i < QuietRequests; ++i) {
        const int before = started;
        const auto ticket = admission.acquireSlot(
            {"g/a", "quiet", 1, 1, steadyNow() + std::chrono::seconds(30)}, 2);
        BOOST_TEST(ticket.has_value());
        passed += started - before;
    }
    stop = true;
    for (std::thread &it : noisy) {
        it.join();
    }
    // In first-in, first-out order the 14 waiting statements would go first each time.
    BOOST_TEST(passed <= 7 * QuietRequests);
}

} // namespace gentianplank
