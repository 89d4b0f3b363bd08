// Plans the shutdown of a VM so that all work it accepted finishes within the grace period.
//
//     const StopSchedule schedule = stopSchedule(settings.grace, longestStatement(*routing));
//     if (sinceRequest > schedule.handOver) { ... }
#pragma once

#include "gentianplank/base/time.h"

namespace gentianplank {

// Times since the stop request.
struct StopSchedule
{
    // From here on, other VMs dispatch for the members of this VM.
    Duration handOver{0};
    // Open transactions without a running statement are rolled back.
    Duration endTransactions{0};
    // Idle sessions are closed.
    Duration closeSessions{0};
    // Every statement has been answered.
    Duration lastAnswer{0};
    // The process exits; all answers have been written.
    Duration end{0};
    // A statement that arrives just before sessions are closed may not finish in the remaining
    // time.
    bool isTooShort = false;
};

// Plans the shutdown of a VM that is killed `grace` after the stop request, where a statement may
// run for `longestStatement`. With a short grace period, sessions are closed and dispatching ends
// earlier, so that statements accepted before are answered in time. Thread-safe.
StopSchedule stopSchedule(Duration grace, Duration longestStatement);

} // namespace gentianplank
