// The faults of one soak run, drawn from a seed. Faults overlap and repeat.
//
//     for (const PlannedFault &it : makeSchedule(seed, 60s, 4)) { ... }
#pragma once

#include "gentianplank/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gentianplank {

enum class FaultKind {
    // A VM's process is killed, paused, or asked to stop; afterwards it runs again.
    KillVm,
    PauseVm,
    StopVm,
    // A VM is told that its settings have changed.
    ReloadVm,
    // The store refuses all calls, processes them without an answer, refuses transactions, or
    // forgets its history.
    StoreBusy,
    StoreLosesAnswers,
    StoreRejectsTransactions,
    StoreForgetsHistory,
    // The group's primary crashes and comes back, or loses its next answer.
    CrashPrimary,
    LoseAnswer,
    // The key of one caller moves to another organisation, or is withdrawn and granted again.
    MoveKey,
    WithdrawKey,
};

struct PlannedFault
{
    FaultKind kind = FaultKind::KillVm;
    // From the start of the load.
    Duration at{0};
    Duration length{0};
    // Index of the VM; unused by other kinds.
    size_t vm = 0;
};

// Returns the faults of a run in the order of their start. The same arguments give the same faults.
// Leaves the last quarter of the run without new faults. Thread-safe.
std::vector<PlannedFault> makeSchedule(uint64_t seed, Duration length, size_t vms);

// Returns the schedule without its i-th fault. Thread-safe.
std::vector<PlannedFault> without(const std::vector<PlannedFault> &schedule, size_t i);

// Returns a line such as "3200 ms: kill VM 2 for 1500 ms". Thread-safe.
std::string toString(const PlannedFault &fault);

} // namespace gentianplank
