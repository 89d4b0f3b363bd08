// Types for time. Functions that make decisions take the time as an argument and do not read a
// clock.
//
//     Instant now = steadyNow();          // only in the daemon's event handlers
//     if (now - lease.renewedAt > LeaseDuration) { ... }
#pragma once

#include <chrono>

namespace gentianplank {

// A span of time in microseconds.
using Duration = std::chrono::microseconds;

// A point on a VM's monotonic clock. Instants of different VMs can't be compared.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Reads the monotonic clock. Thread-safe.
inline Instant steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

// Returns a duration in whole milliseconds, rounded down.
inline long long toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace gentianplank
