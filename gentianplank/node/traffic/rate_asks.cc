#include "gentianplank/node/traffic/rate_asks.h"

#include "gentianplank/base/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace gentianplank {

namespace {

// Maximum number of owners of one organisation's rate. Bounded so that the number of requests does
// not grow with the fleet, and large enough that most of the rate survives the loss of a few
// owners.
constexpr size_t MaxOwners = 8;
// A small rate has fewer owners, so that each share's burst is several tokens, not a fraction of
// one.
constexpr double MinBurstPerShare = 5;
constexpr size_t MinOwners = 2;
// In larger fleets, owners are chosen from a few candidates per region. A VM then needs links to
// these only, and they are open by the time an operation needs a token. Many owners change when a
// fleet grows past this size.
constexpr size_t SmallFleetVms = 16;
// A region has at least MinCandidatesPerRegion candidates, and one for every VmsPerCandidate VMs if
// that is more.
constexpr size_t MinCandidatesPerRegion = 8;
constexpr size_t VmsPerCandidate = 16;
constexpr char CandidateRankingKey[] = "rates";
// A request without a reply is given up after this time.
constexpr Duration RequestTimeout = std::chrono::milliseconds(300);
// Another owner is asked when there is no reply after this time: twice the round trip to an owner
// of the region, or of another one, that is busy.
constexpr Duration NearPatience = std::chrono::milliseconds(30);
constexpr Duration FarPatience = std::chrono::milliseconds(70);
// Round trip that a held request must leave for its answer.
constexpr Duration NearRoundTrip = std::chrono::milliseconds(10);
constexpr Duration FarRoundTrip = std::chrono::milliseconds(50);
// Delay before the next request to an owner that had no tokens and does not say when it will.
constexpr Duration EmptyOwnerPause = std::chrono::milliseconds(250);
constexpr Duration MinOwnerPause = std::chrono::milliseconds(40);
// Tokens for expected operations are not requested again within this time.
constexpr Duration PrefetchInterval = std::chrono::milliseconds(100);
// Owners that are farther than one that was asked are asked too, when this many times the tokens of
// pending requests are needed.
constexpr double UncoveredFactor = 2;
// The demand that an owner knew is used for this time.
constexpr Duration DemandLifetime = std::chrono::seconds(2);
// What an owner had left says nothing about its tokens after this time.
constexpr Duration AvailableLifetime = std::chrono::seconds(1);

bool isFar(const RateOwner &owner)
{
    return owner.distance == Distance::OtherRegion;
}

// Returns the tokens that the owner probably has.
double expectedTokens(const RateOwner &owner, Instant now)
{
    if (!owner.available || now - owner.answeredAt >= AvailableLifetime) {
        return owner.burst;
    }
    const double seconds = static_cast<double>((now - owner.answeredAt).count()) / 1e6;
    return std::min(owner.burst, *owner.available + owner.perSecond * seconds);
}

bool mayBeAsked(const RateOwner &owner, Instant now)
{
    return owner.isReachable && !owner.isPending && now >= owner.emptyUntil;
}

// Returns the owners that may be asked, the best first.
std::vector<size_t> rankOwners(std::span<const RateOwner> owners, Instant now)
{
    std::vector<size_t> ranked;
    for (size_t i = 0; i < owners.size(); ++i) {
        if (mayBeAsked(owners[i], now) && !owners[i].isSilent) {
            ranked.push_back(i);
        }
    }
    // An owner with a token is as good as any other of its region: their delays differ by 1 ms.
    const auto cost = [&](size_t i) {
        return std::tuple(isFar(owners[i]), expectedTokens(owners[i], now) < 1, owners[i].distance);
    };
    std::stable_sort(ranked.begin(), ranked.end(),
                     [&](size_t a, size_t b) { return cost(a) < cost(b); });
    return ranked;
}

// Adds requests for `need` to the best owners, as far as they are nearer than the awaited one.
void addAsks(std::vector<PlannedAsk> &asks, std::span<const RateOwner> owners, const TokenAsk &need,
             const RateOwner *awaited, Duration remainingWait, Instant now)
{
    const std::vector<size_t> ranked = rankOwners(owners, now);
    double needed = need.needed;
    double wanted = need.wanted;
    for (size_t i = 0; i < ranked.size() && wanted > 0; ++i) {
        const RateOwner &it = owners[ranked[i]];
        if (awaited != nullptr && awaited->distance <= it.distance) {
            break;
        }
        const bool isLast = i + 1 == ranked.size();
        const double expected = std::max(1.0, std::floor(expectedTokens(it, now)));
        const double part = isLast ? needed : std::min(needed, expected);
        const Duration roundTrip = isFar(it) ? FarRoundTrip : NearRoundTrip;
        const Duration hold = isLast && needed > 0
                                  ? std::max(Duration::zero(), remainingWait - roundTrip)
                                  : Duration::zero();
        asks.push_back({ranked[i], part, std::max(part, wanted), hold});
        // The rest of what is expected is requested of the first owner only.
        needed -= part;
        wanted = needed;
    }
}

} // namespace

RateOwnerCandidates rateOwnerCandidates(std::span<const VmRecord> vms)
{
    std::map<std::string, std::vector<std::string>> byRegion;
    for (const VmRecord &it : vms) {
        byRegion[vms.size() > SmallFleetVms ? it.place.region : ""].push_back(it.name);
    }
    RateOwnerCandidates candidates;
    for (const auto &[region, names] : byRegion) {
        candidates.push_back(
            rankByRendezvous(CandidateRankingKey, names,
                             std::max(MinCandidatesPerRegion, names.size() / VmsPerCandidate)));
    }
    return candidates;
}

std::vector<std::string> rateOwners(const std::string &organisation,
                                    const RateOwnerCandidates &candidates,
                                    const OrganisationLimits &limits)
{
    const auto maxShares = static_cast<size_t>(limits.burst / MinBurstPerShare);
    const size_t count = std::clamp(maxShares, MinOwners, MaxOwners);
    const size_t ownersPerRegion =
        std::max<size_t>(1, count / std::max<size_t>(1, candidates.size()));
    std::vector<std::string> owners;
    for (const auto &names : candidates) {
        const auto chosen = rankByRendezvous("rate/" + organisation, names, ownersPerRegion);
        owners.insert(owners.end(), chosen.begin(), chosen.end());
    }
    return owners;
}

bool mayStillAnswer(const RateOwner &owner, Instant now)
{
    return owner.isPending && now - owner.requestedAt < RequestTimeout;
}

std::vector<PlannedAsk> planAsks(std::span<RateOwner> owners, const TokenAsk &need,
                                 Duration remainingWait, Instant now)
{
    std::vector<PlannedAsk> asks;
    // The nearest owner whose answer is still worth waiting for.
    const RateOwner *awaited = nullptr;
    double pendingTokens = 0;
    Instant lastAskAt{};
    for (size_t i = 0; i < owners.size(); ++i) {
        RateOwner &it = owners[i];
        if (it.isPending && now - it.requestedAt >= RequestTimeout) {
            it.isPending = false;
            it.isSilent = true;
        }
        if (it.isSilent && mayBeAsked(it, now)) {
            asks.push_back({i, 0, 0, Duration::zero()});
        }
        const Duration patience = (isFar(it) ? FarPatience : NearPatience) + it.hold;
        if (it.isPending && !it.isSilent && now - it.requestedAt < patience) {
            awaited = awaited == nullptr || it.distance < awaited->distance ? &it : awaited;
            pendingTokens += std::max(1.0, it.needed);
        }
        lastAskAt = std::max(lastAskAt, it.requestedAt);
    }
    if (need.needed < 1 && now - lastAskAt < PrefetchInterval) {
        return asks;
    }
    TokenAsk rest = need;
    if (awaited != nullptr && need.needed > UncoveredFactor * pendingTokens) {
        awaited = nullptr;
        rest.needed -= pendingTokens;
        rest.wanted -= pendingTokens;
    }
    addAsks(asks, owners, rest, awaited, remainingWait, now);
    return asks;
}

OwnerSummary summariseOwners(std::span<const RateOwner> owners, Instant now)
{
    OwnerSummary summary;
    for (const RateOwner &it : owners) {
        summary.unreachable += it.isReachable ? 0 : 1;
        summary.silent += it.isSilent ? 1 : 0;
        if (it.isPending || now < it.emptyUntil) {
            ++summary.empty;
        }
        if (now < it.emptyUntil) {
            summary.nextToken = std::min(summary.nextToken, it.emptyUntil - now);
        }
        if (now - it.answeredAt < DemandLifetime) {
            summary.demand = std::max(summary.demand, it.demand);
        }
    }
    return summary;
}

void recordAsk(RateOwner &owner, const PlannedAsk &ask, Instant now)
{
    owner.isPending = true;
    owner.requestedAt = now;
    owner.hold = ask.hold;
    owner.needed = ask.needed;
}

void recordAnswer(RateOwner &owner, const OwnerAnswer &answer, Instant now)
{
    owner.isPending = false;
    owner.isSilent = false;
    owner.available = answer.available;
    owner.answeredAt = now;
    owner.demand = answer.demand;
    if (answer.available) {
        if (answer.tokens < owner.needed) {
            owner.emptyUntil = now + std::clamp(answer.next, MinOwnerPause, EmptyOwnerPause);
        }
    } else if (answer.tokens < 1) {
        owner.emptyUntil = now + EmptyOwnerPause;
    }
}

} // namespace gentianplank
