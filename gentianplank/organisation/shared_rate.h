// An organisation's rate, divided into shares that several VMs own.
//
// Each owner generates the tokens of its own share. Tokens are transferred between VMs on request.
// The sender removes them before the receiver adds them, so a lost message loses tokens but never
// duplicates them. Over all VMs, rate and burst are exceeded at most by the tokens that are in
// transit or were just received.
//
//     setShare(rate, {limit.perSecond / owners, limit.burst / owners}, now, delays);
//     if (!tryTakeToken(rate, now)) { request tokensToRequest(rate, 1, now) from other owners; }
#pragma once

#include "gentianplank/base/time.h"

#include <cstddef>
#include <map>
#include <string>

namespace gentianplank {

// The part of an organisation's rate whose tokens one VM generates.
struct RateShare
{
    double perSecond = 0;
    double burst = 0;

    bool operator==(const RateShare &) const = default;
};

// Another VM's demand for tokens of this VM's share.
struct RateDemand
{
    // Demand that the VM reported last, in tokens per second, and when.
    double demand = 0;
    Instant at{};
    // Tokens set aside for the VM until its next request.
    double reserved = 0;
};

// One VM's state of one organisation's rate. A plain value.
struct SharedRate
{
    RateShare share;
    // A larger share, which takes effect at `nextShareAt`.
    RateShare nextShare;
    Instant nextShareAt = Instant::max();
    double tokens = 0;
    Instant filledAt{};
    // When tokens above the share's burst are dropped.
    Instant excessExpiresAt = Instant::max();
    // Recent local demand, in tokens per second.
    double demand = 0;
    Instant demandAt{};
    // By VM. New tokens are divided by demand among this VM and the VMs listed here, so that under
    // overload each VM admits the same fraction of its operations.
    std::map<std::string, RateDemand> remoteDemands;
};

// Delays before a changed share takes full effect.
struct ShareDelays
{
    // Before a share grows. By then every VM that owned that part has stopped generating its
    // tokens.
    Duration growth{0};
    // Before tokens above the burst of a reduced share are dropped. The organisation may use what
    // it had already been granted.
    Duration shrink{0};

    bool operator==(const ShareDelays &) const = default;
};

// Sets this VM's share. A smaller share generates fewer tokens at once.
void setShare(SharedRate &rate, const RateShare &share, Instant now, const ShareDelays &delays);

// Takes one token if there is one. Counts as demand in either case.
bool tryTakeToken(SharedRate &rate, Instant now);

// Returns how many tokens to request from other VMs while `waiting` operations have none; 0 if
// there are enough for a while. A VM with little demand does not prefetch, because the tokens of a
// small rate would end up spread over many VMs.
double tokensToRequest(SharedRate &rate, size_t waiting, Instant now);

// Removes at most `requested` tokens for `vm`, whose demand is given in tokens per second, and
// returns their number: those reserved for it, and those that this VM does not need itself.
double withdrawTokens(SharedRate &rate, const std::string &vm, double requested, double demand,
                      Instant now);

// Adds tokens that another VM transferred.
void depositTokens(SharedRate &rate, double tokens, Instant now);

} // namespace gentianplank
