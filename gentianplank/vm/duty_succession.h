// Whose turn it is to take a duty over from a holder that is gone or silent.
//
//     if (mayClaimDuty({isGone, goneSince, heardAt, rank}, now)) { ... }
#pragma once

#include "gentianplank/base/boot_clock.h"

#include <cstddef>

namespace gentianplank {

// Those next in line ask the holder for a sign of life this often: often enough that one lost
// answer does not cost it the duty.
inline constexpr Duration DutyHolderProbeInterval = std::chrono::milliseconds(400);
// A silent holder is taken to be gone after this long: three unanswered questions and a margin.
inline constexpr Duration DutyHolderTimeout = std::chrono::milliseconds(1500);

// What a VM knows of a duty's holder, and its own place in the line.
struct DutyHolderStatus
{
    // The holder's process ended or leaves, or there is none.
    bool isGone = false;
    // Since when that, and who stands in line, is known.
    BootInstant goneSince{};
    // When the holder last gave a sign of life.
    BootInstant heardAt{};
    // 0 is next.
    size_t rank = 0;
};

// Those further down the line wait longer, in case the ones before them are gone too, so that a
// fleet does not try to take a duty all at once. Thread-safe.
bool mayClaimDuty(const DutyHolderStatus &standing, BootInstant now);

} // namespace gentianplank
