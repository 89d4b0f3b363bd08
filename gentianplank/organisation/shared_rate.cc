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
// One token over, so that the first statement after a pause need not wait.
constexpr double Spare = 1.0;

double secondsBetween(Instant from, Instant to)
{
    return std::max(0.0, static_cast<double>((to - from).count()) / MicrosecondsPerSecond);
}

void fill(SharedRate &rate, Instant from, Instant to)
{
    // Tokens handed over may exceed the part's burst; they stay, but nothing is added.
    if (rate.tokens < rate.part.burst) {
        rate.tokens = std::min(rate.part.burst,
                               rate.tokens + rate.part.perSecond * secondsBetween(from, to));
    }
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
}

void fadeDemand(SharedRate &rate, Instant now)
{
    rate.demand *= std::exp(-secondsBetween(rate.demandAt, now) / DemandMemorySeconds);
    rate.demandAt = std::max(rate.demandAt, now);
}

} // namespace

void setPart(SharedRate &rate, const RatePart &part, Instant now, Duration delay)
{
    advance(rate, now);
    const RatePart lower{std::min(rate.part.perSecond, part.perSecond),
                         std::min(rate.part.burst, part.burst)};
    rate.part = lower;
    rate.tokens = std::min(rate.tokens, std::max(lower.burst, part.burst));
    if (part == lower) {
        rate.nextAt = Instant::max();
        return;
    }
    if (rate.nextAt != Instant::max() && rate.nextPart == part) {
        return;
    }
    rate.nextPart = part;
    rate.nextAt = now + delay;
    if (delay <= Duration::zero()) {
        rate.part = part;
        rate.nextAt = Instant::max();
    }
}

bool takeToken(SharedRate &rate, Instant now)
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

double tokensWanted(SharedRate &rate, Instant now)
{
    advance(rate, now);
    fadeDemand(rate, now);
    if (rate.tokens >= rate.demand * LowSeconds + Spare) {
        return 0;
    }
    return rate.demand * EnoughSeconds + Spare - rate.tokens;
}

double giveTokens(SharedRate &rate, double asked, Instant now)
{
    advance(rate, now);
    fadeDemand(rate, now);
    const double spare = rate.tokens - rate.demand * LowSeconds;
    const double given = std::clamp(spare, 0.0, std::max(0.0, asked));
    rate.tokens -= given;
    return given;
}

void receiveTokens(SharedRate &rate, double tokens, Instant now)
{
    advance(rate, now);
    rate.tokens += std::max(0.0, tokens);
}

} // namespace gentianplank
