#include "gentianplank/organisation/shared_rate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gentianplank {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
// Time constant of the exponential decay of the measured demand.
constexpr double DemandDecaySeconds = 1.0;
// The same for the demand that is expected to go on. A longer time, so that a burst does not make
// its VM collect tokens that others need.
constexpr double LastingDemandDecaySeconds = 4.0;
// A VM requests tokens when it holds fewer than RequestBelowSeconds of its demand, and then enough
// for RequestUpToSeconds.
constexpr double RequestBelowSeconds = 0.15;
constexpr double RequestUpToSeconds = 0.5;
// A remote demand that is not reported again within this time is dropped.
constexpr Duration RemoteDemandLifetime = std::chrono::seconds(1);
// A VM that still needs tokens asks again within this time, as no owner is avoided for longer than
// 250 ms. After a burst it does not, and others need what was reserved for it.
constexpr Duration ReservationLifetime = std::chrono::milliseconds(400);
// Nothing is reserved for a VM whose part of the new tokens is smaller: a reserved part of a token
// is of no use to it and is missing elsewhere. It gets what is available, like this VM itself.
constexpr double MinReservedPerSecond = 3.0;
// Part of the remaining tokens that is granted for expected operations: half of them, or all above
// a quarter of the share's burst.
constexpr double PrefetchedFraction = 0.5;
constexpr double KeptFraction = 0.25;
// A VM that used tokens this recently keeps a few, as it probably needs them soon.
constexpr Duration RecentUse = std::chrono::milliseconds(1200);
constexpr double MinKeptTokens = 2;
// Longer times until a token are not told apart.
constexpr double MaxSecondsToToken = 3600;
// What may exceed rate and burst in any five seconds, and how many restarts may use it up.
constexpr double BoundWindowSeconds = 5;
constexpr double ToleratedFraction = 0.1;
constexpr double ToleratedOperations = 20;
constexpr double RestartsInWindow = 3;
// A share asks others for tokens when it has less than this part of its burst.
constexpr double BalancedFraction = 0.5;
// Received tokens are kept at least this long. Shorter times return tokens between two bursts.
constexpr Duration MinUnusedTime = std::chrono::milliseconds(600);
// Prefetches smaller than this are not requested.
constexpr double MinPrefetchTokens = 1.0;

double secondsBetween(Instant from, Instant to)
{
    return std::max(0.0, static_cast<double>((to - from).count()) / MicrosecondsPerSecond);
}

// Reserves a part of `filled` for each remote demand, in proportion, and returns the rest.
// Reservations of expired demands are returned to the pool.
double reserve(SharedRate &rate, double filled, Instant now)
{
    std::erase_if(rate.remoteDemands, [&](auto &it) {
        if (now - it.second.at < RemoteDemandLifetime) {
            return false;
        }
        rate.tokens += it.second.reserved;
        return true;
    });
    double demand = rate.demand;
    for (auto &[vm, remote] : rate.remoteDemands) {
        demand += remote.demand;
        if (now - remote.at >= ReservationLifetime) {
            rate.tokens += std::exchange(remote.reserved, 0);
            remote.unmet = 0;
        }
    }
    rate.unreservedFraction = 1;
    if (demand <= 0) {
        return filled;
    }
    double rest = filled;
    for (auto &[vm, remote] : rate.remoteDemands) {
        const double fraction = remote.demand / demand;
        const double most =
            std::min(remote.unmet, std::max(1.0, remote.demand * RequestUpToSeconds));
        if (most <= remote.reserved || rate.share.perSecond * fraction < MinReservedPerSecond) {
            continue;
        }
        const double reserved = std::min(filled * fraction, most - remote.reserved);
        remote.reserved += reserved;
        rest -= reserved;
        rate.unreservedFraction -= fraction;
    }
    return rest;
}

void fill(SharedRate &rate, Instant from, Instant to)
{
    double held = rate.tokens;
    for (const auto &[vm, remote] : rate.remoteDemands) {
        held += remote.reserved;
    }
    // Tokens of other VMs that were just received do not stop the share from generating its own.
    if (to - rate.depositedAt >= MinUnusedTime) {
        rate.received = 0;
    }
    const double room = std::max(0.0, rate.share.burst - held + rate.received);
    const double filled = std::min(room, rate.share.perSecond * secondsBetween(from, to));
    rate.tokens += reserve(rate, filled, to);
}

void refill(SharedRate &rate, Instant now)
{
    if (now <= rate.filledAt) {
        return;
    }
    if (rate.nextShareAt <= now) {
        fill(rate, rate.filledAt, rate.nextShareAt);
        rate.filledAt = std::max(rate.filledAt, rate.nextShareAt);
        rate.share = rate.nextShare;
        rate.nextShareAt = Instant::max();
    }
    fill(rate, rate.filledAt, now);
    rate.filledAt = now;
    if (rate.excessExpiresAt <= now) {
        rate.tokens = std::min(rate.tokens, rate.share.burst);
        rate.excessExpiresAt = Instant::max();
    }
}

void decayDemand(SharedRate &rate, Instant now)
{
    const double seconds = secondsBetween(rate.demandAt, now);
    rate.demand *= std::exp(-seconds / DemandDecaySeconds);
    rate.lastingDemand *= std::exp(-seconds / LastingDemandDecaySeconds);
    rate.demandAt = std::max(rate.demandAt, now);
}

// Returns how many tokens to hold for operations that are expected; 0 if the demand is too small.
double prefetchTokens(const SharedRate &rate)
{
    const double tokens = std::min(rate.demand, rate.lastingDemand) * RequestUpToSeconds;
    return tokens >= MinPrefetchTokens ? tokens + 1 : 0;
}

} // namespace

void setShare(SharedRate &rate, const RateShare &share, Instant now, const ShareDelays &delays)
{
    refill(rate, now);
    const RateShare lower{std::min(rate.share.perSecond, share.perSecond),
                          std::min(rate.share.burst, share.burst)};
    rate.share = lower;
    if (rate.tokens > share.burst) {
        rate.excessExpiresAt = std::min(rate.excessExpiresAt, now + delays.shrink);
    }
    for (auto &[vm, remote] : rate.remoteDemands) {
        remote.reserved = std::min(remote.reserved, share.burst);
    }
    if (share == lower) {
        rate.nextShareAt = Instant::max();
        return;
    }
    if (rate.nextShareAt != Instant::max() && rate.nextShare == share) {
        return;
    }
    rate.nextShare = share;
    rate.nextShareAt = now + delays.growth;
    if (delays.growth <= Duration::zero()) {
        rate.share = share;
        rate.nextShareAt = Instant::max();
    }
}

double tokensAfterRestart(const RateShare &limit, size_t owners)
{
    const double inWindow = limit.perSecond * BoundWindowSeconds + limit.burst;
    const double tolerated = inWindow * ToleratedFraction + ToleratedOperations;
    const auto n = static_cast<double>(std::max<size_t>(1, owners));
    return std::min(limit.burst, tolerated / RestartsInWindow) / n;
}

bool tryTakeToken(SharedRate &rate, Instant now)
{
    refill(rate, now);
    decayDemand(rate, now);
    rate.demand += 1 / DemandDecaySeconds;
    rate.lastingDemand += 1 / LastingDemandDecaySeconds;
    if (rate.tokens < 1) {
        return false;
    }
    rate.tokens -= 1;
    rate.takenAt = now;
    rate.received = std::max(0.0, rate.received - 1);
    return true;
}

TokenAsk tokensToRequest(SharedRate &rate, size_t waiting, Instant now)
{
    refill(rate, now);
    decayDemand(rate, now);
    const auto needed = static_cast<double>(waiting);
    const double expected = prefetchTokens(rate);
    const double threshold = needed + (expected > 0 ? rate.demand * RequestBelowSeconds + 1 : 0);
    if (rate.tokens >= threshold) {
        return {0, 0, rate.demand};
    }
    return {std::ceil(std::max(0.0, needed - rate.tokens)),
            std::ceil(needed + expected - rate.tokens), rate.demand};
}

double withdrawTokens(SharedRate &rate, const std::string &vm, double requested, double demand,
                      Instant now)
{
    refill(rate, now);
    decayDemand(rate, now);
    RateDemand &remote = rate.remoteDemands[vm];
    remote.demand = std::max(0.0, demand);
    remote.at = now;
    const double reserved = std::clamp(remote.reserved, 0.0, std::max(0.0, requested));
    remote.reserved -= reserved;
    const double spare = rate.tokens - rate.demand * RequestBelowSeconds;
    const double withdrawn = std::clamp(spare, 0.0, std::max(0.0, requested - reserved));
    rate.tokens -= withdrawn;
    remote.unmet = std::max(0.0, requested - reserved - withdrawn);
    return reserved + withdrawn;
}

double withdrawWholeTokens(SharedRate &rate, const std::string &vm, const TokenAsk &ask,
                           Instant now)
{
    refill(rate, now);
    decayDemand(rate, now);
    RateDemand &remote = rate.remoteDemands[vm];
    remote.demand = std::max(0.0, ask.demand);
    remote.at = now;
    const double reserved = std::floor(std::clamp(remote.reserved, 0.0, ask.wanted));
    remote.reserved -= reserved;
    const double needed = std::clamp(ask.needed - reserved, 0.0, std::floor(rate.tokens));
    const double spare = std::max(0.0, rate.tokens - needed - rate.demand * RequestBelowSeconds);
    const double expected = std::max(0.0, ask.wanted - std::max(ask.needed, reserved));
    const double prefetched = std::min(
        expected,
        std::floor(std::max(spare * PrefetchedFraction, spare - rate.share.burst * KeptFraction)));
    rate.tokens -= needed + prefetched;
    const double granted = reserved + needed + prefetched;
    remote.unmet = granted < ask.needed ? ask.wanted - granted : 0;
    if (remote.unmet <= 0) {
        rate.tokens += std::exchange(remote.reserved, 0);
    }
    return granted;
}

double tokensToBalance(SharedRate &rate, Instant now)
{
    // Only a share that was low when it was last used is looked at again.
    if (rate.share.burst <= 0 || rate.tokens >= rate.share.burst * BalancedFraction) {
        return 0;
    }
    refill(rate, now);
    const double lacking = std::floor(rate.share.burst - rate.tokens);
    return rate.tokens < rate.share.burst * BalancedFraction ? lacking : 0;
}

double withdrawToBalance(SharedRate &rate, double lacking, Instant now)
{
    refill(rate, now);
    decayDemand(rate, now);
    const double spare = rate.tokens - rate.demand * RequestBelowSeconds;
    const double more = spare - std::max(0.0, rate.share.burst - lacking);
    const double given = std::floor(std::max(0.0, more / 2));
    rate.tokens -= given;
    return given;
}

Duration timeToTokens(SharedRate &rate, double count, Instant now)
{
    refill(rate, now);
    const double missing = count - rate.tokens;
    const double perSecond = rate.share.perSecond * std::max(0.0, rate.unreservedFraction);
    if (missing <= 0) {
        return Duration::zero();
    }
    if (perSecond <= 0) {
        return Duration::max();
    }
    const double seconds = std::min(missing / perSecond, MaxSecondsToToken);
    return Duration(static_cast<Duration::rep>(std::ceil(seconds * MicrosecondsPerSecond)));
}

double knownDemand(SharedRate &rate, Instant now)
{
    refill(rate, now);
    decayDemand(rate, now);
    double demand = rate.demand;
    for (const auto &[vm, remote] : rate.remoteDemands) {
        demand += remote.demand;
    }
    return demand;
}

double unusedTokens(SharedRate &rate, Instant now)
{
    if (rate.tokens < 1 || rate.share.perSecond > 0 || now - rate.depositedAt < MinUnusedTime) {
        return 0;
    }
    decayDemand(rate, now);
    const double kept = now - rate.takenAt < RecentUse ? MinKeptTokens : 0;
    const double unused = std::floor(rate.tokens - std::max(kept, prefetchTokens(rate)));
    // Smaller parts are returned together later.
    return unused >= 1 && unused >= rate.tokens / 2 ? unused : 0;
}

void depositTokens(SharedRate &rate, double tokens, Instant now)
{
    refill(rate, now);
    rate.tokens += std::max(0.0, tokens);
    rate.received = std::min(rate.received + std::max(0.0, tokens), rate.tokens);
    rate.depositedAt = now;
}

void depositReturnedTokens(SharedRate &rate, double tokens, Instant now)
{
    refill(rate, now);
    double held = rate.tokens;
    for (const auto &[vm, remote] : rate.remoteDemands) {
        held += remote.reserved;
    }
    rate.tokens += std::clamp(rate.share.burst - held, 0.0, std::max(0.0, tokens));
}

} // namespace gentianplank
