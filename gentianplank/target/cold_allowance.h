// The requests that a cold member, which has just started or whose zone was just evacuated,
// accepts. One VM divides them: the member's first dispatcher, through which the others send.
//
//     refill(allowance, limit, now);
//     if (reserve(allowance)) { ...; spend(allowance); }
#pragma once

#include "gentianplank/base/boot_clock.h"
#include "gentianplank/configuration/routing.h"

#include <algorithm>
#include <cstddef>

namespace gentianplank {

// Whether the group's members have a cold phase: without a duration or a rate, they have none.
bool hasColdPhase(const GroupLimits &group);

// The starts of a member's cold phases that a VM knows of; the clock's epoch if there was none.
struct ColdPhaseStarts
{
    // Until when the member is cold by its own entry.
    BootInstant coldByEntryUntil{};
    BootInstant memberStartedAt{};
    BootInstant evacuationEndedAt{};
};

// Returns until when the member is cold.
BootInstant coldUntil(const ColdPhaseStarts &starts, const GroupLimits &group);

// The rate of requests to a cold member, and how many may be sent at once.
struct ColdLimit
{
    double perSecond = 0;
    double burst = 0;
};

// Returns a limit under which a member gets at most `perSecond` x `overage` + `slack` requests in
// any second. Half of the slack and the overage are left for the requests that set a connection up.
ColdLimit coldLimit(double perSecond, double overage, double slack);

// A token bucket that starts empty. Tokens are reserved for statements before they are sent and
// counted when they are sent.
struct ColdAllowance
{
    double tokens = 0;
    double reserved = 0;
    // The epoch while the allowance can't be used.
    BootInstant refilledAt{};
};

// Adds the tokens since the last refill. `usableFrom` is when this VM may first use the allowance.
void refill(ColdAllowance &allowance, const ColdLimit &limit, BootInstant usableFrom,
            BootInstant now);

// Whether reserve() would succeed.
bool canReserve(const ColdAllowance &allowance);

// Reserves a token; false if none is left.
bool reserve(ColdAllowance &allowance);

// Counts a reserved token as sent, or returns it.
void spend(ColdAllowance &allowance);
void release(ColdAllowance &allowance);

// Counts requests that were sent without a reservation, such as those that set a connection up.
void charge(ColdAllowance &allowance, double requests);

// Returns how long a statement behind `waiting` others will wait for a token.
Duration expectedWait(const ColdAllowance &allowance, const ColdLimit &limit, size_t waiting);

} // namespace gentianplank
