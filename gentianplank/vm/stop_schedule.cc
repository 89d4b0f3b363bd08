#include "gentianplank/vm/stop_schedule.h"

#include <algorithm>

namespace gentianplank {

namespace {

// The balancer asks for readiness each second and leaves a VM alone after two misses; sessions
// closed earlier may come back.
constexpr Duration BalancerPause = std::chrono::milliseconds(2300);
// Another VM that dispatches for a member may be far from it, so this one does as long as it can.
constexpr Duration HandOverPause = std::chrono::milliseconds(1800);
// What is kept of the grace for the process to end, and before that for answers to be written.
constexpr Duration EndMargin = std::chrono::milliseconds(700);
constexpr Duration AnswerMargin = std::chrono::milliseconds(100);
// Of a short grace, at most these parts: a member may be at work until the last sixth of it.
constexpr int EndDivisor = 9;
constexpr int AnswerDivisor = 30;
// Open transactions have this part of the grace.
constexpr int TransactionDivisor = 2;
// Sessions are served as usual for at least this part of the grace.
constexpr int ServingDivisor = 4;

} // namespace

StopSchedule stopSchedule(Duration grace, Duration longestStatement)
{
    StopSchedule schedule;
    schedule.end = grace - std::min(EndMargin, grace / EndDivisor);
    schedule.lastAnswer = schedule.end - std::min(AnswerMargin, grace / AnswerDivisor);
    schedule.endTransactions = grace / TransactionDivisor;
    const Duration room = schedule.lastAnswer - longestStatement;
    const Duration earliest = grace / ServingDivisor;
    schedule.isTooShort = room < earliest;
    schedule.closeSessions = std::min(BalancerPause, std::max(room, earliest));
    schedule.handOver = std::min(HandOverPause, schedule.closeSessions);
    return schedule;
}

} // namespace gentianplank
