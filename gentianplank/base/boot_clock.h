// The clock for leases. It keeps running while the process or its VM is suspended, and is never
// set.
//
//     BootInstant sentAt = bootNow();
//     if (bootNow() - sentAt > LeaseDuration) { ... }
#pragma once

#include "gentianplank/base/time.h"

#include <ctime>

namespace gentianplank {

// Adapts CLOCK_BOOTTIME to std::chrono.
struct BootClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock, Duration>;
    static constexpr bool is_steady = true;
};

// A point on a VM's boot clock. The epoch stands for "never".
using BootInstant = BootClock::time_point;

// Reads the boot clock. Thread-safe.
inline BootInstant bootNow()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return BootInstant(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) +
                                                            std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace gentianplank
