#include "gentianplank/target/cold_allowance.h"

namespace gentianplank {

namespace {

constexpr double MinBurst = 1;
constexpr double SlackShare = 0.5;
// Returned where no token will ever come.
constexpr Duration LongestWait = std::chrono::hours(1);

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

bool hasColdPhase(const GroupLimits &group)
{
    return group.coldStart > Duration::zero() && group.coldPerSecond > 0;
}

BootInstant coldUntil(const ColdPhaseStarts &starts, const GroupLimits &group)
{
    if (!hasColdPhase(group)) {
        return {};
    }
    BootInstant until = starts.coldByEntryUntil;
    for (const BootInstant start : {starts.memberStartedAt, starts.evacuationEndedAt}) {
        if (start != BootInstant{}) {
            until = std::max(until, start + group.coldStart);
        }
    }
    return until;
}

ColdLimit coldLimit(double perSecond, double overage, double slack)
{
    return {perSecond * std::min(1.0, overage), std::max(MinBurst, slack * SlackShare)};
}

void refill(ColdAllowance &allowance, const ColdLimit &limit, BootInstant usableFrom,
            BootInstant now)
{
    const BootInstant from = std::max(allowance.refilledAt, usableFrom);
    if (allowance.refilledAt != BootInstant{} && now > from) {
        allowance.tokens =
            std::min(limit.burst, allowance.tokens + toSeconds(now - from) * limit.perSecond);
    }
    allowance.refilledAt = now;
}

bool canReserve(const ColdAllowance &allowance)
{
    return allowance.tokens - allowance.reserved >= 1;
}

bool reserve(ColdAllowance &allowance)
{
    if (!canReserve(allowance)) {
        return false;
    }
    allowance.reserved += 1;
    return true;
}

void spend(ColdAllowance &allowance)
{
    release(allowance);
    allowance.tokens -= 1;
}

void release(ColdAllowance &allowance)
{
    allowance.reserved = std::max(0.0, allowance.reserved - 1);
}

void charge(ColdAllowance &allowance, double requests)
{
    allowance.tokens -= requests;
}

Duration expectedWait(const ColdAllowance &allowance, const ColdLimit &limit, size_t waiting)
{
    const double missing =
        static_cast<double>(waiting) + 1 - (allowance.tokens - allowance.reserved);
    if (missing <= 0) {
        return Duration::zero();
    }
    if (limit.perSecond <= 0 || missing / limit.perSecond > toSeconds(LongestWait)) {
        return LongestWait;
    }
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(missing / limit.perSecond));
}

} // namespace gentianplank
