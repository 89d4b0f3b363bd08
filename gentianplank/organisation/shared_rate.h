// An organisation's rate, divided into shares that several VMs own.
//
// Each owner generates the tokens of its own share. Tokens are transferred between VMs on request.
// The sender removes them before the receiver adds them, so a lost message loses tokens but never
// duplicates them. Over all VMs, rate and burst are exceeded at most by the tokens that are in
// transit or were just received.
//
//     setShare(rate, {limit.perSecond / owners, limit.burst / owners}, now, delays);
//     if (!tryTakeToken(rate, now)) { ask other owners for tokensToRequest(rate, 1, now); }
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
    // Tokens that the last request asked for in vain. Nothing is reserved for a VM that got what it
    // needed, as it may ask another owner next time.
    double unmet = 0;
};

// A request for whole tokens.
struct TokenAsk
{
    // For operations that are waiting.
    double needed = 0;
    // In total, at least `needed`: the rest is for operations that are expected.
    double wanted = 0;
    // Of the requesting VM, in tokens per second.
    double demand = 0;
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
    // The same over a longer time.
    double lastingDemand = 0;
    Instant demandAt{};
    // By VM. New tokens are divided by demand among this VM and the VMs listed here, so that under
    // overload each VM admits the same fraction of its operations.
    std::map<std::string, RateDemand> remoteDemands;
    // The part of new tokens that is not reserved for a VM.
    double unreservedFraction = 1;
    // Tokens of other VMs that were lately received and not taken yet, and when the last came.
    double received = 0;
    Instant depositedAt{};
    // When an operation last took a token.
    Instant takenAt{};
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

// Returns the tokens with which an owner's share begins when its VM was registered before: a third
// of what may exceed the limit in five seconds, over all owners, and at most the share's burst.
// Three restarts of all VMs in five seconds stay inside the bound. Tokens that were left are lost
// with the process.
double tokensAfterRestart(const RateShare &limit, size_t owners);

// Takes one token if there is one. Counts as demand in either case.
bool tryTakeToken(SharedRate &rate, Instant now);

// Returns the whole tokens to request from other VMs while `waiting` operations have none; zeros if
// there are enough for a while. A VM with little demand does not prefetch, because the tokens of a
// small rate would end up spread over many VMs.
TokenAsk tokensToRequest(SharedRate &rate, size_t waiting, Instant now);

// Removes at most `requested` tokens for `vm`, whose demand is given in tokens per second, and
// returns their number: those reserved for it, and those that this VM does not need itself.
double withdrawTokens(SharedRate &rate, const std::string &vm, double requested, double demand,
                      Instant now);

// The same in whole tokens, since a VM with little demand can't use a part of one. Tokens for
// expected operations are granted only out of half of what is left, so that few VMs don't take all
// tokens that operations elsewhere will need.
double withdrawWholeTokens(SharedRate &rate, const std::string &vm, const TokenAsk &ask,
                           Instant now);

// Returns the tokens that this VM's share lacks to its burst, if that is more than half of it: an
// owner with more should give it some, as the full share of that one generates none.
double tokensToBalance(SharedRate &rate, Instant now);

// Removes half of what this share has more than one of the same size that lacks `lacking` tokens to
// its burst, in whole tokens, and returns their number.
double withdrawToBalance(SharedRate &rate, double lacking, Instant now);

// Returns the time until the share has generated `count` whole tokens that are not reserved,
// including those at hand; the maximum if it never does.
Duration timeToTokens(SharedRate &rate, double count, Instant now);

// Returns the demand of this VM and of those that requested tokens lately, in tokens per second.
double knownDemand(SharedRate &rate, Instant now);

// Returns the whole tokens that this VM, which owns no share, has not needed for a while.
double unusedTokens(SharedRate &rate, Instant now);

// Adds tokens that another VM returned. Those above the share's burst are dropped, since new tokens
// were generated in their place.
void depositReturnedTokens(SharedRate &rate, double tokens, Instant now);

// Adds tokens that another VM transferred.
void depositTokens(SharedRate &rate, double tokens, Instant now);

} // namespace gentianplank
