#include "gentianplank/vm/stop_schedule.h"

#include <algorithm>

namespace gentianplank {

namespace {

// The load balancer checks readiness every second and stops using a VM after two failures; callers
// of sessions closed earlier may reconnect to this VM.
constexpr Duration BalancerDrainTime = std::chrono::milliseconds(2300);
// Another VM may be further away from a member, so this one dispatches for as long as it can.
constexpr Duration HandOverDelay = std::chrono::milliseconds(1800);
// Reserved at the end of the grace period for the process to exit, and before that for answers to
// be written.
constexpr Duration ExitMargin = std::chrono::milliseconds(700);
constexpr Duration AnswerMargin = std::chrono::milliseconds(100);
// A short grace period is reduced by at most these fractions, so that members may work until its
// last sixth.
constexpr int ExitMarginDivisor = 9;
constexpr int AnswerMarginDivisor = 30;
// Open transactions may continue for this fraction of the grace period.
constexpr int TransactionTimeDivisor = 2;
// Sessions are served as usual for at least this fraction of the grace period.
constexpr int MinServingTimeDivisor = 4;

} // namespace

StopSchedule stopSchedule(Duration grace, Duration longestStatement)
{
    StopSchedule schedule;
    schedule.end = grace - std::min(ExitMargin, grace / ExitMarginDivisor);
    schedule.lastAnswer = schedule.end - std::min(AnswerMargin, grace / AnswerMarginDivisor);
    schedule.endTransactions = grace / TransactionTimeDivisor;
    const Duration latestClose = schedule.lastAnswer - longestStatement;
    const Duration earliestClose = grace / MinServingTimeDivisor;
    schedule.isTooShort = latestClose < earliestClose;
    schedule.closeSessions = std::min(BalancerDrainTime, std::max(latestClose, earliestClose));
    schedule.handOver = std::min(HandOverDelay, schedule.closeSessions);
    return schedule;
}

} // namespace gentianplank
