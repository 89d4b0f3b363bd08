#include "gentianplank/target/position_history.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

const BootInstant Start(1000s);

PositionSample sample(uint64_t position, Duration at)
{
    return {{1, position}, Start + at};
}

} // namespace

BOOST_AUTO_TEST_CASE(coveringPositionIsOldestSampleNotBeforeRequestedTime)
{
    PositionHistory history;
    addSample(history, 1, sample(10, 0ms));
    addSample(history, 1, sample(20, 100ms));
    addSample(history, 1, sample(30, 200ms));
    BOOST_TEST((positionCovering(history, Start + 50ms) == LogPosition{1, 20}));
    BOOST_TEST((positionCovering(history, Start + 200ms) == LogPosition{1, 30}));
    BOOST_TEST(!positionCovering(history, Start + 201ms));
}

BOOST_AUTO_TEST_CASE(newEpochDropsEarlierSamples)
{
    PositionHistory history;
    addSample(history, 1, sample(10, 0ms));
    addSample(history, 2, {{2, 5}, Start + 100ms});
    BOOST_TEST((positionCovering(history, Start) == LogPosition{2, 5}));
    addSample(history, 1, sample(99, 300ms));
    BOOST_TEST((newestSample(history)->position == LogPosition{2, 5}));
}

BOOST_AUTO_TEST_CASE(historySizeIsBoundedAndNewestSampleIsKept)
{
    PositionHistory history;
    for (int i = 0; i < 100000; ++i) {
        addSample(history, 1, sample(static_cast<uint64_t>(i), i * 1ms));
    }
    BOOST_TEST(history.samples.size() < 90U);
    BOOST_TEST((newestSample(history)->position == LogPosition{1, 99999}));
}

// Guards against stale reads: for any order of commits and samples, the returned position covers
// every commit that was acknowledged before the requested time.
BOOST_AUTO_TEST_CASE(coveringPositionIncludesAllEarlierCommits)
{
    std::mt19937 random(7);
    for (int run = 0; run < 300; ++run) {
        PositionHistory history;
        std::map<Duration, uint64_t> acknowledged;
        uint64_t log = 0;
        Duration now{0};
        for (int i = 0; i < 200; ++i) {
            now += std::chrono::milliseconds(random() % 40);
            if (random() % 2 == 0) {
                acknowledged[now] = ++log;
            } else {
                // The request was sent earlier; the primary answers with its current position.
                addSample(history, 1, sample(log, now - std::chrono::milliseconds(random() % 60)));
            }
            const Duration asked = now - std::chrono::milliseconds(random() % 1500);
            const auto position = positionCovering(history, Start + asked);
            const auto after = acknowledged.lower_bound(asked);
            if (position && after != acknowledged.begin()) {
                BOOST_TEST(position->position >= std::prev(after)->second);
            }
        }
    }
}
