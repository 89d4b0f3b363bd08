// When a VM that is asked to stop does what, so that it cuts nothing off within its grace.
//
//     const StopSchedule schedule = stopSchedule(settings.grace, longestStatement(*routing));
//     if (sinceAsked > schedule.handOver) { ... }
#pragma once

#include "gentianplank/base/time.h"

namespace gentianplank {

// Spans since the VM was asked to stop.
struct StopSchedule
{
    // Other VMs dispatch for this one's members from here on.
    Duration handOver{0};
    // Open transactions that wait for their callers are rolled back.
    Duration endTransactions{0};
    // Sessions that rest are closed.
    Duration closeSessions{0};
    // Every statement has its answer.
    Duration lastAnswer{0};
    // The process ends, answers being written.
    Duration end{0};
    // A statement that comes just before sessions are closed may need longer than there is.
    bool isTooShort = false;
};

// Plans the stop of a VM that is killed `grace` after it was asked, where a statement may take
// `longestStatement`. With a short grace, sessions are closed and dispatching ends earlier, so that
// what was taken before has its answer in time. Thread-safe.
StopSchedule stopSchedule(Duration grace, Duration longestStatement);

} // namespace gentianplank
