// Which VMs own the shares of an organisation's rate, and which of them to ask for tokens.
//
//     const auto owners = rateOwners("rate/dredge-co", rateOwnerCandidates(vms), limits);
//     for (const PlannedAsk &it : planAsks(owners, need, remainingWait, now)) { send(it); }
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/configuration/routing.h"
#include "gentianplank/organisation/shared_rate.h"
#include "gentianplank/vm/fleet_records.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gentianplank {

// VMs that may own shares of rates, by region. A small fleet has one list for all regions.
using RateOwnerCandidates = std::vector<std::vector<std::string>>;

RateOwnerCandidates rateOwnerCandidates(std::span<const VmRecord> vms);

// Returns the owners of an organisation's rate: the same number in each region, at least one.
std::vector<std::string> rateOwners(const std::string &organisation,
                                    const RateOwnerCandidates &candidates,
                                    const OrganisationLimits &limits);

// What a VM knows of another one that owns a share of a rate.
struct RateOwner
{
    std::string vm;
    Distance distance = Distance::SameZone;
    double perSecond = 0;
    double burst = 0;
    bool isReachable = true;
    // The last request, until it is answered.
    bool isPending = false;
    Instant requestedAt{};
    // By how much the owner may delay that answer.
    Duration hold{0};
    // Tokens that operations were waiting for in the last request.
    double needed = 0;
    // It did not answer a request in time, and none since.
    bool isSilent = false;
    // Not asked before, as it had no token.
    Instant emptyUntil{};
    // Tokens that it had after its last grant, and when. Missing: unknown, or it does not take
    // tokens back.
    std::optional<double> available;
    Instant answeredAt{};
    // Demand that it knew then, in tokens per second.
    double demand = 0;
};

struct PlannedAsk
{
    size_t owner = 0;
    // Zero in both: only to learn whether a silent owner answers again.
    double needed = 0;
    double wanted = 0;
    Duration hold{0};
};

// Returns whether the owner may still answer its pending request in time to be worth waiting for.
bool mayStillAnswer(const RateOwner &owner, Instant now);

// Returns the owners to ask now. The nearest that is not known to be empty is asked first, and
// further ones as far as it does not have enough, or if it does not answer. The last one that can
// be asked may hold the request until it has a token. `remainingWait` is that of the operation that
// has waited longest. Marks owners that did not answer as silent.
std::vector<PlannedAsk> planAsks(std::span<RateOwner> owners, const TokenAsk &need,
                                 Duration remainingWait, Instant now);

// Records that the ask was sent.
void recordAsk(RateOwner &owner, const PlannedAsk &ask, Instant now);

// The owners' state as far as it explains a refusal.
struct OwnerSummary
{
    size_t unreachable = 0;
    size_t silent = 0;
    // Had no token lately, or are asked now.
    size_t empty = 0;
    // Largest demand that one of them knows, in tokens per second.
    double demand = 0;
    // Until one of them expects a token; the maximum if that is unknown.
    Duration nextToken = Duration::max();
};

OwnerSummary summariseOwners(std::span<const RateOwner> owners, Instant now);

// The answer of an owner.
struct OwnerAnswer
{
    double tokens = 0;
    std::optional<double> available;
    // Until the owner has another token, if it granted fewer than needed.
    Duration next{0};
    double demand = 0;
};

// Records an answer.
void recordAnswer(RateOwner &owner, const OwnerAnswer &answer, Instant now);

} // namespace gentianplank
