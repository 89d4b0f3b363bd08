#include "gentianplank/organisation/shared_rate.h"

#include <algorithm>
#include <cmath>

namespace gentianplank {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
// Over this time the demand of before fades to a third.
constexpr double DemandMemorySeconds = 1.0;
// A VM asks for tokens when it has less than this much of its demand, up to the second figure.
constexpr double LowSeconds = 0.15;
constexpr double EnoughSeconds = 0.4;
// A claim that was not made again for this long is dropped.
constexpr Duration ClaimMemory = std::chrono::seconds(1);
// For a VM that asks for less nothing is set aside: it gets what there is, like this VM itself.
constexpr double LeastReserving = 3.0;
// Fewer tokens than this are not asked for in advance.
constexpr double LeastInAdvance = 1.0;

double secondsBetween(Instant from, Instant to)
{
    return std::max(0.0, static_cast<double>((to - from).count()) / MicrosecondsPerSecond);
}

// Sets a share of `filled` aside for each claim, by demand, and returns the rest.
double reserve(SharedRate &rate, double filled, Instant now)
{
    std::erase_if(rate.claims, [&](auto &it) {
        if (now - it.second.at < ClaimMemory) {
            return false;
        }
        rate.tokens += it.second.reserved;
        return true;
    });
    double demand = rate.demand;
    for (const auto &[vm, claim] : rate.claims) {
        demand += claim.demand;
    }
    if (demand <= 0) {
        return filled;
    }
    double rest = filled;
    for (auto &[vm, claim] : rate.claims) {
        if (claim.demand < LeastReserving) {
            continue;
        }
        const double most = std::max(1.0, claim.demand * EnoughSeconds) - claim.reserved;
        const double share = std::clamp(filled * claim.demand / demand, 0.0, std::max(0.0, most));
        claim.reserved += share;
        rest -= share;
    }
    return rest;
}

void fill(SharedRate &rate, Instant from, Instant to)
{
    double held = rate.tokens;
    for (const auto &[vm, claim] : rate.claims) {
        held += claim.reserved;
    }
    // Tokens handed over may exceed the part's burst; they stay, but nothing is added.
    const double room = std::max(0.0, rate.part.burst - held);
    const double filled = std::min(room, rate.part.perSecond * secondsBetween(from, to));
    rate.tokens += reserve(rate, filled, to);
}

void advance(SharedRate &rate, Instant now)
{
    if (now <= rate.filledAt) {
        return;
    }
    if (rate.nextAt <= now) {
        fill(rate, rate.filledAt, rate.nextAt);
        rate.filledAt = std::max(rate.filledAt, rate.nextAt);
        rate.part = rate.nextPart;
        rate.nextAt = Instant::max();
    }
    fill(rate, rate.filledAt, now);
    rate.filledAt = now;
    if (rate.clipAt <= now) {
        rate.tokens = std::min(rate.tokens, rate.part.burst);
        rate.clipAt = Instant::max();
    }
}

void fadeDemand(SharedRate &rate, Instant now)
{
    rate.demand *= std::exp(-secondsBetween(rate.demandAt, now) / DemandMemorySeconds);
    rate.demandAt = std::max(rate.demandAt, now);
}

} // namespace

void setPart(SharedRate &rate, const RatePart &part, Instant now, const ShareDelays &delays)
{
    advance(rate, now);
    const RatePart lower{std::min(rate.part.perSecond, part.perSecond),
                         std::min(rate.part.burst, part.burst)};
    rate.part = lower;
    if (rate.tokens > part.burst) {
        rate.clipAt = std::min(rate.clipAt, now + delays.lowering);
    }
    for (auto &[vm, claim] : rate.claims) {
        claim.reserved = std::min(claim.reserved, part.burst);
    }
    if (part == lower) {
        rate.nextAt = Instant::max();
        return;
    }
    if (rate.nextAt != Instant::max() && rate.nextPart == part) {
        return;
    }
    rate.nextPart = part;
    rate.nextAt = now + delays.growth;
    if (delays.growth <= Duration::zero()) {
        rate.part = part;
        rate.nextAt = Instant::max();
    }
}

bool tryTakeToken(SharedRate &rate, Instant now)
{
    advance(rate, now);
    fadeDemand(rate, now);
    rate.demand += 1 / DemandMemorySeconds;
    if (rate.tokens < 1) {
        return false;
    }
    rate.tokens -= 1;
    return true;
}

double tokensWanted(SharedRate &rate, size_t waiting, Instant now)
{
    advance(rate, now);
    fadeDemand(rate, now);
    const auto needed = static_cast<double>(waiting);
    const double inAdvance = rate.demand * EnoughSeconds;
    const bool asksInAdvance = inAdvance >= LeastInAdvance;
    const double low = needed + (asksInAdvance ? rate.demand * LowSeconds + 1 : 0);
    if (rate.tokens >= low) {
        return 0;
    }
    return needed + (asksInAdvance ? inAdvance + 1 : 0) - rate.tokens;
}

double giveTokens(SharedRate &rate, const std::string &vm, double asked, double demand, Instant now)
{
    advance(rate, now);
    fadeDemand(rate, now);
    RateClaim &claim = rate.claims[vm];
    claim.demand = std::max(0.0, demand);
    claim.at = now;
    const double reserved = std::clamp(claim.reserved, 0.0, std::max(0.0, asked));
    claim.reserved -= reserved;
    const double spare = rate.tokens - rate.demand * LowSeconds;
    const double given = std::clamp(spare, 0.0, std::max(0.0, asked - reserved));
    rate.tokens -= given;
    return reserved + given;
}

void receiveTokens(SharedRate &rate, double tokens, Instant now)
{
    advance(rate, now);
    rate.tokens += std::max(0.0, tokens);
}

} // namespace gentianplank
