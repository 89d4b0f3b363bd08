// Decides when a VM may claim a duty whose holder is gone or silent.
//
//     if (mayClaimDuty({isVacant, vacantSince, lastHeardAt, successionRank}, now)) { ... }
#pragma once

#include "gentianplank/base/boot_clock.h"

#include <cstddef>

namespace gentianplank {

// How often the successors probe the holder: often enough that a single lost answer does not cost
// it the duty.
inline constexpr Duration DutyHolderProbeInterval = std::chrono::milliseconds(400);
// A holder that has been silent for this long is considered gone: three unanswered probes and a
// margin.
inline constexpr Duration DutyHolderTimeout = std::chrono::milliseconds(1500);

// What a VM knows about the holder of a duty, and its own place in the order of succession.
struct DutyHolderStatus
{
    // The holder's process ended or is leaving, or there is no holder.
    bool isVacant = false;
    // When both the vacancy and the order of succession were known.
    BootInstant vacantSince{};
    // When the holder last answered a probe.
    BootInstant lastHeardAt{};
    // Place in the order of succession, starting with 0.
    size_t successionRank = 0;
};

// Whether the VM may claim the duty now. VMs further down the order wait longer, in case those
// before them are gone too, so that the VMs of a fleet don't all claim a duty at once. Thread-safe.
bool mayClaimDuty(const DutyHolderStatus &status, BootInstant now);

} // namespace gentianplank
