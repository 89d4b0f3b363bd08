#include "gentianplank/organisation/retry_spread.h"

#include <algorithm>
#include <cmath>

namespace gentianplank {

namespace {

// Shortest time over which requests are spread. Demand that just exceeds the limit is short of few
// tokens, but its requests should not come back together.
constexpr double MinSpreadSeconds = 0.2;
// Rates below this are treated alike.
constexpr double MinPerSecond = 0.1;
// Routes of lower priorities than this share the last place.
constexpr uint32_t LastPriority = 2;
constexpr double MicrosecondsPerSecond = 1e6;

// Returns a number from 0 up to 1 that depends on the id only: FNV-1a, whose last step is repeated
// to mix ids that differ in their last characters only.
double fractionOf(std::string_view id)
{
    constexpr uint64_t offset = 14695981039346656037ULL;
    constexpr uint64_t prime = 1099511628211ULL;
    constexpr uint64_t mix = 0xff51afd7ed558ccdULL;
    constexpr int keptBits = 53;
    uint64_t hash = offset;
    for (const char it : id) {
        hash = (hash ^ static_cast<unsigned char>(it)) * prime;
    }
    hash = (hash ^ (hash >> 33)) * mix;
    hash ^= hash >> 33;
    return std::ldexp(static_cast<double>(hash >> (64 - keptBits)), -keptBits);
}

Duration fromSeconds(double seconds)
{
    return Duration(static_cast<Duration::rep>(seconds * MicrosecondsPerSecond));
}

} // namespace

Duration retryDelay(const RatePressure &pressure, uint32_t priority, std::string_view requestId)
{
    const double perSecond = std::max(pressure.perSecond, MinPerSecond);
    const double longest =
        static_cast<double>((MaxRetryDelay - MinRetryDelay).count()) / MicrosecondsPerSecond;
    const double spread =
        std::clamp((pressure.demand - perSecond) / perSecond, MinSpreadSeconds, longest);
    // Priority 0 gets the first half, 1 the third quarter, and all others the last one.
    const uint32_t place = std::min(priority, LastPriority);
    const double end =
        place == LastPriority ? 1 : 1 - std::ldexp(1.0, -static_cast<int>(place) - 1);
    const double begin = place == 0 ? 0 : 1 - std::ldexp(1.0, -static_cast<int>(place));
    const Duration first = std::max(MinRetryDelay, pressure.nextToken);
    const double at = spread * (begin + (end - begin) * fractionOf(requestId));
    return std::min(first + fromSeconds(at), MaxRetryDelay);
}

} // namespace gentianplank
