// An organisation's rate, shared by the VMs that own parts of it.
//
// Each owner fills its own part. Tokens move from one VM to another: the giver gives them up
// before the receiver has them, so that none is used twice, whatever is lost on the way. Over all
// VMs, rate and burst are exceeded by no more than what is on its way or was just received.
//
//     setPart(rate, {limit.perSecond / owners, limit.burst / owners}, now, delay);
//     if (!tryTakeToken(rate, now)) { ask other owners for tokensWanted(rate, 1, now); }
#pragma once

#include "gentianplank/base/time.h"

#include <cstddef>
#include <map>
#include <string>

namespace gentianplank {

// How much of an organisation's rate one VM fills by itself.
struct RatePart
{
    double perSecond = 0;
    double burst = 0;

    bool operator==(const RatePart &) const = default;
};

// Another VM's need of the part that this VM fills.
struct RateClaim
{
    // Tokens that the VM asks for a second, as it said last, and when.
    double demand = 0;
    Instant at{};
    // Set aside for it until it asks again.
    double reserved = 0;
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
    // When tokens above the part's burst are lost.
    Instant clipAt = Instant::max();
    // Tokens asked for a second, of late.
    double demand = 0;
    Instant demandAt{};
    // By VM. What is filled while there are claims is divided by demand, so that of more operations
    // than the rate allows, each VM admits the same share.
    std::map<std::string, RateClaim> claims;
};

// How soon parts change.
struct ShareDelays
{
    // Until a part grows: every VM that filled it before has stopped by then.
    Duration growth{0};
    // Until tokens above the burst of a part that shrank are lost, so that an organisation may use
    // what it had been allowed.
    Duration lowering{0};

    bool operator==(const ShareDelays &) const = default;
};

// Sets the VM's part. A part that shrinks fills less at once.
void setPart(SharedRate &rate, const RatePart &part, Instant now, const ShareDelays &delays);

// Takes one token if there is one. Counts as demand either way.
bool tryTakeToken(SharedRate &rate, Instant now);

// How many tokens the VM should ask others for, with `waiting` operations that have none; 0 when it
// has enough for a while. A VM that is rarely asked wants none in advance: a small rate would be
// spread over many VMs that hold a token each.
double tokensWanted(SharedRate &rate, size_t waiting, Instant now);

// Gives up at most `asked` tokens to `vm`, which has that demand, and returns how many: what was
// set aside for it, and what this VM does not need itself.
double giveTokens(SharedRate &rate, const std::string &vm, double asked, double demand,
                  Instant now);

// Takes over tokens that another VM gave up.
void receiveTokens(SharedRate &rate, double tokens, Instant now);

} // namespace gentianplank
