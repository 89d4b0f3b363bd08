#include "gentianplank/load/load_run.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <thread>

namespace gentianplank {

BOOST_AUTO_TEST_CASE(percentileIsSmallestLatencyCoveringShare)
{
    rc::check("matches a count of the latencies", [] {
        LoadResult result;
        for (const int it :
             *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50)))) {
            result.latencies.emplace_back(it);
        }
        std::sort(result.latencies.begin(), result.latencies.end());
        const unsigned permille = *rc::gen::inRange(1U, 1001U);
        const Duration latency = percentile(result, permille);
        const auto countUpTo = [&](Duration limit) {
            return std::count_if(result.latencies.begin(), result.latencies.end(),
                                 [&](Duration it) { return it <= limit; }) *
                   1000;
        };
        const auto required = static_cast<long>(result.latencies.size() * permille);
        RC_ASSERT(countUpTo(latency) >= required);
        RC_ASSERT(countUpTo(latency - Duration(1)) < required);
    });
}

// The call of the first thread is always served, that of the second always refused.
BOOST_AUTO_TEST_CASE(excludesWarmUpAndCountsRefusalsSeparately)
{
    std::atomic<int> calls{0};
    const LoadResult result = runLoad(
        {2, std::chrono::milliseconds(100), std::chrono::milliseconds(100)}, [&](size_t thread) {
            return [&calls, thread] {
                ++calls;
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
                return thread == 0;
            };
        });
    BOOST_TEST(result.served > 0U);
    BOOST_TEST(result.refused > 0U);
    BOOST_TEST(result.latencies.size() == result.served);
    BOOST_TEST(result.served + result.refused < static_cast<uint64_t>(calls));
}

} // namespace gentianplank
