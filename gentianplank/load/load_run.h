// Closed-loop load: several threads repeat a call for a fixed time and measure its latency.
//
//     LoadResult direct = runLoad({4, std::chrono::seconds(2)}, makeDirectCall);
//     std::cout << render(direct);
#pragma once

#include "gentianplank/base/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace gentianplank {

// Runs one statement and returns whether it was served. Called from one thread.
using LoadCall = std::function<bool()>;

// Returns the call of one thread, with its own connection or session. Runs on that thread, so calls
// of the factory are concurrent.
using LoadCallFactory = std::function<LoadCall(size_t thread)>;

struct LoadOptions
{
    size_t threads = 1;
    // Time that is measured, after the warm-up.
    Duration duration = std::chrono::seconds(2);
    // Time at the start whose calls are not measured.
    Duration warmUp = std::chrono::milliseconds(300);
};

struct LoadResult
{
    uint64_t served = 0;
    uint64_t refused = 0;
    // The measured time, as in the options.
    Duration duration{0};
    // Of the served calls, in ascending order.
    std::vector<Duration> latencies;
};

// Blocks for the warm-up and the measured time, and until the last call of every thread has
// returned. A call is measured if it starts after the warm-up, and counts even if it ends after the
// measured time.
LoadResult runLoad(const LoadOptions &options, const LoadCallFactory &factory);

// Returns the smallest latency that `permille` of 1000 served calls do not exceed; zero without
// served calls.
Duration percentile(const LoadResult &result, unsigned permille);

// Returns the served calls per second of the measured time.
double perSecond(const LoadResult &result);

// Returns one line with the rate, the median and 99th percentile of the latency, and the refusals.
std::string render(const LoadResult &result);

} // namespace gentianplank
