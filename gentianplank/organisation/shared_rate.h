// An organisation's rate, shared by the VMs that own parts of it.
//
// Each owner fills its own part. Tokens move from one VM to another: the giver gives them up
// before the receiver has them, so the sum over all VMs never exceeds rate and burst, whatever is
// lost on the way.
//
//     setPart(rate, {limit.perSecond / owners, limit.burst / owners}, now, delay);
//     if (!takeToken(rate, now)) { ask other owners for tokensWanted(rate, now); }
#pragma once

#include "gentianplank/base/time.h"

namespace gentianplank {

// How much of an organisation's rate one VM fills by itself.
struct RatePart
{
    double perSecond = 0;
    double burst = 0;

    bool operator==(const RatePart &) const = default;
};

// What one VM knows of one organisation's rate. A plain value.
struct SharedRate
{
    RatePart part;
    // Takes effect at `nextAt`; used for parts that grow.
    RatePart nextPart;
    Instant nextAt = Instant::max();
    double tokens = 0;
    Instant filledAt{};
    // Tokens asked for a second, of late.
    double demand = 0;
    Instant demandAt{};
};

// Sets the VM's part. A part that shrinks does so at once, and tokens above the burst are lost; a
// part that grows does so after `delay`, when every VM that filled it before has stopped.
void setPart(SharedRate &rate, const RatePart &part, Instant now, Duration delay);

// Takes one token if there is one. Counts as demand either way.
bool takeToken(SharedRate &rate, Instant now);

// How many tokens the VM should ask others for; 0 when it has enough for a while.
double tokensWanted(SharedRate &rate, Instant now);

// Gives up at most `asked` tokens that the VM does not need itself, and returns how many.
double giveTokens(SharedRate &rate, double asked, Instant now);

// Takes over tokens that another VM gave up.
void receiveTokens(SharedRate &rate, double tokens, Instant now);

} // namespace gentianplank
