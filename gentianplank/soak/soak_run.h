// One soak run: real gentianplank-entry processes over an in-memory store and a database group,
// callers that use them, and the faults of a schedule.
//
//     const SoakResult result = runSoak(options, makeSchedule(7, options.length, options.vms));
#pragma once

#include "gentianplank/soak/fault_schedule.h"
#include "gentianplank/soak/history.h"

#include <string>
#include <vector>

namespace gentianplank {

struct SoakOptions
{
    // Path of gentianplank-entry.
    std::string program;
    // Existing folder for settings and logs.
    std::string folder;
    Duration length = std::chrono::seconds(20);
    size_t vms = 3;
    size_t callers = 6;
};

struct SoakResult
{
    History history;
    std::vector<Violation> violations;
    size_t served = 0;
    size_t refused = 0;
    // VMs whose process ended by itself.
    std::vector<std::string> failedVms;
};

// Runs the load with the faults, waits for the load to end and checks what was seen. Blocks for the
// length of the run and a few seconds. Throws std::runtime_error if the VMs don't serve at first.
SoakResult runSoak(const SoakOptions &options, const std::vector<PlannedFault> &schedule);

} // namespace gentianplank
