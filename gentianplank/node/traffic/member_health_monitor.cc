#include "gentianplank/node/traffic/member_health_monitor.h"

#include "gentianplank/base/event_log.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace gentianplank {

namespace {

// A member that has had a statement for this long without answering it hangs: nearly all
// statements take less. A shorter time means that the statement had little time left.
constexpr Duration MinHangTime = std::chrono::milliseconds(200);
// A read at a doubtful member leaves the rest of its time to another member.
constexpr int DoubtfulTimeDivisor = 3;

constexpr std::string_view eventOf(HealthState state)
{
    switch (state) {
    case HealthState::Suspect:
        return "member.suspect";
    case HealthState::Returning:
        return "member.returning";
    case HealthState::Healthy:
        break;
    }
    return "member.healthy";
}

} // namespace

bool isPlainRead(const ForwardedStatement &statement)
{
    return statement.kind == ForwardKind::Read && !statement.opensTransaction &&
           !statement.continuesTransaction;
}

OutcomeSign signOf(const ForwardedStatement &statement, const StatementOutcome &outcome)
{
    if (outcome.execution == StatementExecution::Unknown) {
        const bool isBroken =
            outcome.unansweredFor > Duration::zero() && outcome.code == ErrorCode::Unknown;
        return isBroken || outcome.unansweredFor >= MinHangTime ? OutcomeSign::Lost
                                                                : OutcomeSign::Neutral;
    }
    if (outcome.execution != StatementExecution::Answered) {
        return OutcomeSign::Neutral;
    }
    if (!outcome.code) {
        return OutcomeSign::Well;
    }
    switch (*outcome.code) {
    case ErrorCode::Failed:
    case ErrorCode::Other:
        // After an error, all further statements of a transaction fail.
        return statement.continuesTransaction ? OutcomeSign::Neutral : OutcomeSign::Failed;
    case ErrorCode::Unknown:
    case ErrorCode::Timeout:
        return OutcomeSign::Failed;
    case ErrorCode::Busy:
        return OutcomeSign::Refused;
    default:
        return OutcomeSign::Neutral;
    }
}

void MemberHealthMonitor::setVmCount(size_t vms)
{
    m_probeInterval = probeIntervalFor(vms);
}

void MemberHealthMonitor::countStatement(const std::string &group)
{
    recordRequest(m_groups[group].retries);
}

bool MemberHealthMonitor::consumeRetry(const std::string &group)
{
    return gentianplank::consumeRetry(m_groups[group].retries);
}

std::vector<std::string> MemberHealthMonitor::withheld(const ForwardedStatement &statement,
                                                       Instant now)
{
    const auto it = m_groups.find(statement.group);
    if (it == m_groups.end() || !it->second.hasDoubts) {
        return {};
    }
    Group &group = it->second;
    update(it->first, group, now);
    group.health.probeInterval = m_probeInterval;
    const bool mayProbe = isPlainRead(statement) && hasRetry(group.retries);
    return withheldMembers(group.health, std::hash<std::string>()(statement.requestId), mayProbe,
                           now);
}

bool MemberHealthMonitor::mayBeAtFault(const ForwardedStatement &statement,
                                       const std::string &member, Instant now) const
{
    const auto it = m_groups.find(statement.group);
    return it != m_groups.end() &&
           gentianplank::mayBeAtFault(it->second.health, member, statement.organisation, now);
}

void MemberHealthMonitor::addDoubtful(const ForwardedStatement &statement, Instant now,
                                      std::set<std::string> &members) const
{
    const auto it = m_groups.find(statement.group);
    if (it == m_groups.end()) {
        return;
    }
    for (const auto &[id, member] : it->second.health.members) {
        if (gentianplank::mayBeAtFault(it->second.health, id, statement.organisation, now)) {
            members.insert(id);
        }
    }
}

Duration MemberHealthMonitor::recordSent(const ForwardedStatement &statement,
                                         const std::string &member, Duration timeout, Instant now)
{
    const auto it = m_groups.find(statement.group);
    if (it == m_groups.end() || !gentianplank::isDoubtful(it->second.health, member, now)) {
        return timeout;
    }
    gentianplank::recordSent(it->second.health, member, now);
    const bool mayRetry = isPlainRead(statement) && hasRetry(it->second.retries);
    return mayRetry ? timeout / DoubtfulTimeDivisor : timeout;
}

void MemberHealthMonitor::recordOutcome(const ForwardedStatement &statement,
                                        const std::string &member, int64_t startedAtMs,
                                        const StatementOutcome &outcome, Instant now)
{
    const auto it = m_groups.try_emplace(statement.group).first;
    GroupHealth &health = it->second.health;
    const OutcomeSign sign = signOf(statement, outcome);
    setMemberStart(health, member, startedAtMs);
    gentianplank::recordOutcome(health, member,
                                {statement.organisation, sign, outcome.timeAtMember,
                                 outcome.memberReads, isPlainRead(statement)},
                                now);
    const bool mayChange = sign != OutcomeSign::Well && sign != OutcomeSign::Neutral;
    if (mayChange || it->second.hasDoubts || outcome.memberReads.failures > 0) {
        update(it->first, it->second, now);
    }
}

std::map<std::string, Evidence> MemberHealthMonitor::evidenceOf(const std::string &group,
                                                                Instant now) const
{
    std::map<std::string, Evidence> evidence;
    const auto it = m_groups.find(group);
    if (it != m_groups.end()) {
        for (const auto &[id, member] : it->second.health.members) {
            evidence[id] = gentianplank::evidenceOf(member.all, now);
        }
    }
    return evidence;
}

// Moves the members between their states and logs the changes.
void MemberHealthMonitor::update(const std::string &name, Group &group, Instant now)
{
    for (const HealthChange &it : updateHealth(group.health, now)) {
        logEvent(eventOf(it.state), {{"member", it.member},
                                     {"group", name},
                                     {"statements", std::lround(it.evidence.statements)},
                                     {"failures", std::lround(it.evidence.failures)},
                                     {"mean_ms", std::lround(it.evidence.meanMs)},
                                     {"report_age_ms", toMilliseconds(it.reportAge)},
                                     {"after_ms", toMilliseconds(it.after)}});
    }
    const auto &members = group.health.members;
    group.hasDoubts = std::any_of(members.begin(), members.end(), [&](const auto &it) {
        return gentianplank::isDoubtful(group.health, it.first, now);
    });
}

} // namespace gentianplank
