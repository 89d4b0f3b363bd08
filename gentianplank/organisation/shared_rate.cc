#include "gentianplank/organisation/shared_rate.h"

#include <algorithm>
#include <cmath>

namespace gentianplank {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
// Time constant of the exponential decay of the measured demand.
constexpr double DemandDecaySeconds = 1.0;
// A VM requests tokens when it holds fewer than RequestBelowSeconds of its demand, and then enough
// for RequestUpToSeconds.
constexpr double RequestBelowSeconds = 0.15;
constexpr double RequestUpToSeconds = 0.4;
// A remote demand that is not reported again within this time is dropped.
constexpr Duration RemoteDemandLifetime = std::chrono::seconds(1);
// Below this demand nothing is reserved for a VM. It gets what is available, like this VM itself.
constexpr double MinReservedDemandPerSecond = 3.0;
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
    for (const auto &[vm, remote] : rate.remoteDemands) {
        demand += remote.demand;
    }
    if (demand <= 0) {
        return filled;
    }
    double rest = filled;
    for (auto &[vm, remote] : rate.remoteDemands) {
        if (remote.demand < MinReservedDemandPerSecond) {
            continue;
        }
        const double most = std::max(1.0, remote.demand * RequestUpToSeconds) - remote.reserved;
        const double reserved =
            std::clamp(filled * remote.demand / demand, 0.0, std::max(0.0, most));
        remote.reserved += reserved;
        rest -= reserved;
    }
    return rest;
}

void fill(SharedRate &rate, Instant from, Instant to)
{
    double held = rate.tokens;
    for (const auto &[vm, remote] : rate.remoteDemands) {
        held += remote.reserved;
    }
    // Received tokens may exceed the share's burst. They are kept, but none are generated on top.
    const double room = std::max(0.0, rate.share.burst - held);
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
    rate.demand *= std::exp(-secondsBetween(rate.demandAt, now) / DemandDecaySeconds);
    rate.demandAt = std::max(rate.demandAt, now);
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

bool tryTakeToken(SharedRate &rate, Instant now)
{
    refill(rate, now);
    decayDemand(rate, now);
    rate.demand += 1 / DemandDecaySeconds;
    if (rate.tokens < 1) {
        return false;
    }
    rate.tokens -= 1;
    return true;
}

double tokensToRequest(SharedRate &rate, size_t waiting, Instant now)
{
    refill(rate, now);
    decayDemand(rate, now);
    const auto needed = static_cast<double>(waiting);
    const double prefetchTokens = rate.demand * RequestUpToSeconds;
    const bool prefetches = prefetchTokens >= MinPrefetchTokens;
    const double threshold = needed + (prefetches ? rate.demand * RequestBelowSeconds + 1 : 0);
    if (rate.tokens >= threshold) {
        return 0;
    }
    return needed + (prefetches ? prefetchTokens + 1 : 0) - rate.tokens;
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
    return reserved + withdrawn;
}

void depositTokens(SharedRate &rate, double tokens, Instant now)
{
    refill(rate, now);
    rate.tokens += std::max(0.0, tokens);
}

} // namespace gentianplank
