// Tracks which VMs are permanently gone: those that don't answer repeated probes of the VM that
// holds the promotion duty.
//
//     for (const std::string &name : vmsToProbe(liveness, vms, now)) { probe(name); }
//     recordVmAlive(liveness, name);
//     for (const std::string &name : removeUnresponsiveVms(liveness, now)) { eraseRow(name); }
#pragma once

#include "gentianplank/base/boot_clock.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace gentianplank {

// A VM that has been silent for this long is considered gone. Longer than a restart or a suspension
// of a few seconds.
inline constexpr Duration UnresponsiveTimeout = std::chrono::seconds(8);

// The probe state of one VM.
struct VmProbeState
{
    uint32_t unansweredProbes = 0;
    BootInstant probedAt{};
    // When the first of the unanswered probes was sent.
    BootInstant silentSince{};
};

// A plain value; not thread-safe.
struct VmLiveness
{
    std::map<std::string, VmProbeState> vms;
    // The VM that the round robin probed last.
    std::string lastProbed;
};

// Returns the VMs to probe now: the silent ones, and the next one in round-robin order. `names` is
// sorted. Call it about ten times a second; apart from silent VMs, the number of probes does not
// depend on the size of the fleet.
std::vector<std::string> vmsToProbe(VmLiveness &liveness, std::span<const std::string> names,
                                    BootInstant now);

// Records that a VM answered a probe; ignores unknown VMs.
void recordVmAlive(VmLiveness &liveness, const std::string &name);

// Returns the VMs that have been silent for UnresponsiveTimeout and stops tracking them.
std::vector<std::string> removeUnresponsiveVms(VmLiveness &liveness, BootInstant now);

} // namespace gentianplank
