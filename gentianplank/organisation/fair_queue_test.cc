#include "gentianplank/organisation/fair_queue.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace gentianplank {

namespace {

const Instant Start{std::chrono::seconds(1000)};
constexpr Duration Forever = std::chrono::hours(1);

// Generalised processor sharing: at every moment, each backlogged organisation is served in
// proportion to its weight. This is the ideal that a fair queue approximates within a bound.
struct IdealSharing
{
    std::vector<double> backlogMs;
    std::vector<double> servedMs;
    std::vector<double> weights;

    void advance(double ms, double slots)
    {
        double left = ms * slots;
        while (left > 1e-9) {
            double weight = 0;
            for (size_t i = 0; i < weights.size(); ++i) {
                weight += backlogMs[i] > 1e-9 ? weights[i] : 0;
            }
            if (weight == 0) {
                return;
            }
            double step = left;
            for (size_t i = 0; i < weights.size(); ++i) {
                if (backlogMs[i] > 1e-9) {
                    step = std::min(step, backlogMs[i] * weight / weights[i]);
                }
            }
            for (size_t i = 0; i < weights.size(); ++i) {
                if (backlogMs[i] > 1e-9) {
                    backlogMs[i] -= step * weights[i] / weight;
                    servedMs[i] += step * weights[i] / weight;
                }
            }
            left -= step;
        }
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(lagBehindProcessorSharingIsBounded)
{
    const bool ok = rc::check("lag behind processor sharing is bounded", [] {
        const auto organisations = static_cast<size_t>(*rc::gen::inRange(2, 6));
        FairQueue queue = makeFairQueue(100000);
        queue.slots = static_cast<uint32_t>(*rc::gen::inRange(1, 4));
        const int longestMs = *rc::gen::inRange(1, 30);
        IdealSharing ideal;
        std::vector<uint32_t> weights;
        std::vector<double> servedMs(organisations, 0);
        for (size_t i = 0; i < organisations; ++i) {
            weights.push_back(static_cast<uint32_t>(*rc::gen::inRange(1, 4)));
            ideal.weights.push_back(weights.back());
        }
        ideal.backlogMs.assign(organisations, 0);
        ideal.servedMs.assign(organisations, 0);
        std::vector<std::pair<size_t, int>> statements;
        const auto arrive = [&](size_t organisation, int ms, Instant now) {
            statements.emplace_back(organisation, ms);
            ideal.backlogMs[organisation] += ms;
            BOOST_REQUIRE(enqueue(queue,
                                  {statements.size() - 1, std::to_string(organisation),
                                   weights[organisation], 1, Start + Forever},
                                  now)
                              .has_value());
        };
        std::map<uint64_t, int> leftMs;
        // Keeps every organisation backlogged.
        for (int ms = 0; ms < 1500; ++ms) {
            const Instant now = Start + std::chrono::milliseconds(ms);
            for (size_t i = 0; i < organisations; ++i) {
                while (ideal.backlogMs[i] < 200) {
                    arrive(i, *rc::gen::inRange(1, longestMs + 1), now);
                }
            }
            while (const auto number = next(queue, now)) {
                leftMs[*number] = statements[*number].second;
            }
            RC_ASSERT(leftMs.size() <= queue.slots);
            for (auto it = leftMs.begin(); it != leftMs.end();) {
                servedMs[statements[it->first].first] += 1;
                --it->second;
                if (it->second == 0) {
                    finish(queue, it->first, now + std::chrono::milliseconds(1));
                    it = leftMs.erase(it);
                } else {
                    ++it;
                }
            }
            ideal.advance(1, queue.slots);
            for (size_t i = 0; i < organisations; ++i) {
                // One statement per slot in either direction, for each organisation.
                const double bound = 2.0 * longestMs * queue.slots * ideal.weights[i] + longestMs;
                RC_ASSERT(ideal.servedMs[i] - servedMs[i] <= bound);
            }
        }
    });
    BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(bulkStatementsLeaveOneSlotFree)
{
    FairQueue queue = makeFairQueue(10);
    queue.slots = 2;
    BOOST_REQUIRE(enqueue(queue, {1, "a", 1, BulkCost, Start + Forever}, Start).has_value());
    BOOST_REQUIRE(enqueue(queue, {2, "b", 1, BulkCost, Start + Forever}, Start).has_value());
    BOOST_TEST((next(queue, Start) == 1U));
    BOOST_TEST(!next(queue, Start).has_value());
    BOOST_REQUIRE(enqueue(queue, {3, "c", 1, 1, Start + Forever}, Start).has_value());
    BOOST_TEST((next(queue, Start) == 3U));
    finish(queue, 1, Start + std::chrono::milliseconds(500));
    BOOST_TEST((next(queue, Start + std::chrono::milliseconds(500)) == 2U));
}

BOOST_AUTO_TEST_CASE(fullQueueEvictsFromLongestLane)
{
    FairQueue queue = makeFairQueue(8);
    uint64_t number = 0;
    for (const char *noisy : {"a", "b", "c"}) {
        for (int i = 0; i < 10; ++i) {
            enqueue(queue, {number++, noisy, 1, 1, Start + Forever}, Start);
        }
    }
    BOOST_TEST(queue.waiting == 8U);
    const auto place = enqueue(queue, {100, "quiet", 1, 1, Start + Forever}, Start);
    BOOST_REQUIRE(place.has_value());
    BOOST_TEST(place->has_value());
    BOOST_TEST(queue.waiting == 8U);
}

BOOST_AUTO_TEST_CASE(refusesStatementWhoseExpectedWaitExceedsDeadline)
{
    FairQueue queue = makeFairQueue(100);
    queue.smallMs = 100;
    for (uint64_t i = 0; i < 10; ++i) {
        BOOST_REQUIRE(enqueue(queue, {i, "a", 1, 1, Start + Forever}, Start).has_value());
    }
    const Instant earlyDeadline = Start + std::chrono::milliseconds(200);
    const auto late = enqueue(queue, {10, "a", 1, 1, earlyDeadline}, Start);
    BOOST_REQUIRE(!late.has_value());
    BOOST_TEST((late.error().fault == QueueFault::TooLate));
    BOOST_TEST((late.error().retryAfter > Duration::zero()));
    BOOST_TEST(enqueue(queue, {11, "b", 1, 1, earlyDeadline}, Start).has_value());
    BOOST_TEST(expire(queue, earlyDeadline).size() == 1U);
}

// Guards against a statement of high priority waiting behind earlier ones of low priority.
BOOST_AUTO_TEST_CASE(servesByPriorityWithinOrganisation)
{
    FairQueue queue = makeFairQueue(100);
    queue.slots = 1;
    for (uint64_t i = 1; i <= 4; ++i) {
        BOOST_REQUIRE(enqueue(queue, {i, "a", 1, 1, Start + Forever, i % 2 == 0 ? 1U : 2U}, Start));
    }
    BOOST_REQUIRE(enqueue(queue, {5, "a", 1, 1, Start + Forever, 0}, Start));
    std::vector<uint64_t> order;
    while (const auto number = next(queue, Start)) {
        order.push_back(*number);
        finish(queue, *number, Start);
    }
    const std::vector<uint64_t> expected{5, 2, 4, 1, 3};
    BOOST_TEST(order == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(priorityDoesNotAffectOtherOrganisations)
{
    FairQueue queue = makeFairQueue(1000);
    queue.slots = 1;
    std::map<std::string, int> served;
    for (uint64_t i = 0; i < 200; ++i) {
        BOOST_REQUIRE(enqueue(queue, {2 * i, "urgent", 1, 1, Start + Forever, 0}, Start));
        BOOST_REQUIRE(enqueue(queue, {2 * i + 1, "usual", 1, 1, Start + Forever, 2}, Start));
    }
    for (int i = 0; i < 200; ++i) {
        const auto number = next(queue, Start);
        BOOST_REQUIRE(number);
        ++served[*number % 2 == 0 ? "urgent" : "usual"];
        finish(queue, *number, Start + std::chrono::milliseconds(1));
    }
    BOOST_TEST(served["urgent"] >= 95);
    BOOST_TEST(served["usual"] >= 95);
}

// A statement that is overtaken and can no longer meet its deadline must be refused at once instead
// of waiting until the deadline.
BOOST_AUTO_TEST_CASE(evictsOvertakenStatementThatWouldMissDeadline)
{
    FairQueue queue = makeFairQueue(100);
    queue.slots = 1;
    queue.smallMs = 10;
    const Instant earlyDeadline = Start + std::chrono::milliseconds(25);
    BOOST_REQUIRE(enqueue(queue, {1, "a", 1, 1, earlyDeadline, 2}, Start));
    BOOST_REQUIRE(enqueue(queue, {2, "a", 1, 1, earlyDeadline, 2}, Start));
    const auto first = enqueue(queue, {3, "a", 1, 1, earlyDeadline, 0}, Start);
    BOOST_REQUIRE(first);
    BOOST_TEST((*first == std::optional<uint64_t>(2)));
    BOOST_TEST(queue.waiting == 2U);
    // The statement of high priority does not wait for later ones of low priority.
    BOOST_TEST((expectedWait(queue, "a", 1, 0) < expectedWait(queue, "a", 1)));
}

} // namespace gentianplank
