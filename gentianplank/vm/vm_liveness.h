// Which VMs are gone for good, judged by the holder of the duty: they were asked for signs of life
// again and again and gave none.
//
//     for (const std::string &name : vmsToProbe(absence, vms, now)) { ask(name); }
//     recordVmAlive(absence, name, now);
//     for (const std::string &name : removeUnresponsiveVms(absence, now)) { eraseRow(name); }
#pragma once

#include "gentianplank/base/boot_clock.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace gentianplank {

// A VM that gave no sign of life for this long is taken to be gone: longer than a restart or a
// suspension of seconds.
inline constexpr Duration AbsenceLimit = std::chrono::seconds(8);

// What is known of one VM.
struct VmPresence
{
    uint32_t unanswered = 0;
    BootInstant askedAt{};
    // Since when it has been asked without an answer.
    BootInstant silentSince{};
};

// A plain value.
struct VmLiveness
{
    std::map<std::string, VmPresence> vms;
    // The VM that was asked last in turn.
    std::string last;
};

// Returns whom to ask now: those that are silent, and a few others in turn. Call it about ten times
// a second; what it returns does not grow with the fleet but for silent VMs.
std::vector<std::string> vmsToProbe(VmLiveness &absence, std::span<const std::string> names,
                                    BootInstant now);

void recordVmAlive(VmLiveness &absence, const std::string &name);

// Returns the VMs that have been silent for too long, and forgets them.
std::vector<std::string> removeUnresponsiveVms(VmLiveness &absence, BootInstant now);

} // namespace gentianplank
