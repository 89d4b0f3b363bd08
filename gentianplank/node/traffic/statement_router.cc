#include "gentianplank/node/traffic/statement_router.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/node/traffic/authority.h"
#include "gentianplank/node/traffic/member_health_monitor.h"
#include "gentianplank/node/traffic/member_selection.h"

#include <algorithm>
#include <list>
#include <set>

namespace gentianplank {

namespace {

// Each attempt costs a round trip to a member.
constexpr int MaxAttempts = 5;
// How long a dispatcher that could not reach a member is not used for it.
constexpr Duration UnreachableDispatcherBackoff = std::chrono::milliseconds(400);
// How long a replica that reported lag is ranked as lagging.
constexpr Duration LaggingReplicaBackoff = std::chrono::milliseconds(60);
// Assumed time until replicas have a commit: several times the usual lag.
constexpr Duration AssumedReplicationDelay = std::chrono::milliseconds(30);
// Delay before the next attempt after a member rejected the statement.
constexpr Duration RetryDelay = std::chrono::milliseconds(15);
// Delay before a read is tried again whose dispatcher knows no recent position of a primary that is
// outside the home regions: the dispatcher asks for one meanwhile, in another region.
constexpr Duration PositionRetryDelay = std::chrono::milliseconds(60);
// Retry delays reported to callers.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration NoPrimaryRetryAfter = std::chrono::milliseconds(300);

// A statement being routed.
struct PendingStatement
{
    RoutedStatement request;
    std::function<void(RoutedOutcome)> done;
    int attempts = 0;
    // Members that failed this statement.
    std::set<std::string> failedMembers;
    Instant notBefore{};
    std::string lastReason;
    // Is in the list of waiting statements.
    bool isWaiting = false;
    // A read that no replica can serve within its staleness bound.
    bool needsPrimary = false;
    // A member's answer to the read, with an error that another member may not have.
    std::optional<RoutedOutcome> firstAnswer;
};

using PendingStatementPointer = std::shared_ptr<PendingStatement>;

} // namespace

struct StatementRouter::State : std::enable_shared_from_this<StatementRouter::State>
{
    void attempt(const PendingStatementPointer &pending);
    AttemptPlan plan(const PendingStatement &pending);
    void attemptPrimary(const PendingStatementPointer &pending, const AttemptPlan &plan);
    void attemptRead(const PendingStatementPointer &pending, const AttemptPlan &plan);
    void sendToPrimary(const PendingStatementPointer &pending, const MemberAssessment &primary,
                       uint64_t epoch);
    std::vector<MemberAssessment> assess(const PendingStatement &pending, bool needsPrimary,
                                         const std::optional<GroupRecord> &usablePrimary);
    HomeRegions homesOf(const RoutedStatement &request) const;
    std::optional<std::string> dispatcherOf(const std::string &member,
                                            const HomeRegions &homes) const;
    void rejectOrWait(const PendingStatementPointer &pending,
                      std::span<const MemberAssessment> assessed, bool needsPrimary,
                      const std::string &reason);
    bool isPrimaryExcluded(const PendingStatement &pending);
    void sendTo(const PendingStatementPointer &pending, const std::string &vm,
                const std::string &member, uint64_t epoch);
    void handleOutcome(const PendingStatementPointer &pending, const std::string &vm,
                       const std::string &member, uint64_t epoch, StatementOutcome outcome);
    void retryOrReject(const PendingStatementPointer &pending, Duration delay,
                       const StatementOutcome &outcome);
    void enqueueForRetry(const PendingStatementPointer &pending, const std::string &reason);
    bool tryElsewhere(const PendingStatementPointer &pending, RoutedOutcome answer);
    static void finish(const PendingStatement &pending, RoutedOutcome outcome);

    Place ownPlace;
    RouterEnvironment environment;
    std::unique_ptr<ZoneRouting> zones;
    std::map<std::string, MemberObservations, std::less<>> members;
    std::map<std::pair<std::string, std::string>, Instant> dispatcherBackoffs;
    std::list<PendingStatementPointer> waiting;
    MemberHealthMonitor health;
};

void StatementRouter::State::attempt(const PendingStatementPointer &pending)
{
    const RoutedStatement &request = pending->request;
    if (environment.provenRouting) {
        if (auto refusal = reauthorise(environment.provenRouting().get(), pending->request)) {
            finish(*pending,
                   {callerOutcome(pending->request.statement, std::move(*refusal)), "", "", 0});
            return;
        }
    }
    if (request.statement.continuesTransaction) {
        if (!mayContinueTransaction(*environment.view(), homesOf(request), request.statement.member,
                                    request.pinnedVm, environment.ownName)) {
            pending->done(
                {callerOutcome(pending->request.statement,
                               notRun(ErrorCode::Aborted, "the transaction's member is outside the "
                                                          "home regions")),
                 "", "", 0});
            return;
        }
        sendTo(pending, request.pinnedVm, request.statement.member, request.statement.epoch);
        return;
    }
    const AttemptPlan next = plan(*pending);
    if (next.needsPrimary) {
        attemptPrimary(pending, next);
    } else {
        attemptRead(pending, next);
    }
}

AttemptPlan StatementRouter::State::plan(const PendingStatement &pending)
{
    AttemptPlan plan;
    plan.needsPrimary = pending.needsPrimary || needsPrimary(pending.request);
    plan.usablePrimary = environment.usablePrimary(pending.request.statement.group);
    plan.members = assess(pending, plan.needsPrimary, plan.usablePrimary);
    return plan;
}

void StatementRouter::State::attemptPrimary(const PendingStatementPointer &pending,
                                            const AttemptPlan &plan)
{
    const MemberAssessment *primary = bestMember(plan.members);
    if (primary == nullptr) {
        rejectOrWait(pending, plan.members, true,
                     plan.usablePrimary ? "no dispatcher can reach the group's primary"
                                        : "the group has no usable primary");
        return;
    }
    sendToPrimary(pending, *primary, plan.usablePrimary->epoch);
}

void StatementRouter::State::sendToPrimary(const PendingStatementPointer &pending,
                                           const MemberAssessment &primary, uint64_t epoch)
{
    pending->request.statement.requiredPosition.reset();
    pending->request.statement.stalenessBound.reset();
    sendTo(pending, primary.dispatcher, primary.candidate.id, epoch);
}

void StatementRouter::State::attemptRead(const PendingStatementPointer &pending,
                                         const AttemptPlan &plan)
{
    const MemberAssessment *best = bestMember(plan.members);
    if (best == nullptr) {
        rejectOrWait(pending, plan.members, false, "no member of the group is reachable");
        return;
    }
    zones->adjust(pending->request.statement.group, plan.members, steadyNow());
    if (best->candidate.isPrimary) {
        sendToPrimary(pending, *best, plan.usablePrimary->epoch);
        return;
    }
    RoutedStatement &request = pending->request;
    const bool readsOwnWrites = request.consistency == Consistency::ReadYourWrites;
    request.statement.requiredPosition = readsOwnWrites ? request.lastCommit : std::nullopt;
    request.statement.stalenessBound = request.staleness + (bootNow() - request.arrivedAt);
    sendTo(pending, best->dispatcher, best->candidate.id, 0);
}

// Assesses the members of the statement's group for the next attempt.
std::vector<MemberAssessment>
StatementRouter::State::assess(const PendingStatement &pending, bool needsPrimary,
                               const std::optional<GroupRecord> &usablePrimary)
{
    const auto view = environment.view();
    const Instant now = steadyNow();
    const RoutedStatement &request = pending.request;
    const bool followsRecentCommit = request.consistency == Consistency::ReadYourWrites &&
                                     request.lastCommit &&
                                     now - request.lastCommitAt < AssumedReplicationDelay;
    const HomeRegions homes = homesOf(request);
    const std::function<std::optional<std::string>(const std::string &)> dispatcher =
        [&](const std::string &member) { return dispatcherOf(member, homes); };
    const auto zoneContext =
        zones->context(view, request.statement.group, zoneRequestOf(request, now), now);
    health.setVmCount(view->vms.size());
    const auto withheld =
        needsPrimary ? std::vector<std::string>() : health.withheld(request.statement, now);
    return assessMembers(
        {request.statement.group, needsPrimary, followsRecentCommit, pending.failedMembers, homes,
         withheld},
        {*view, ownPlace, usablePrimary, members, dispatcher, now, zoneContext.get()});
}

// Returns the VM to send through.
std::optional<std::string> StatementRouter::State::dispatcherOf(const std::string &member,
                                                                const HomeRegions &homes) const
{
    const Instant now = steadyNow();
    return selectDispatcher(
        environment.dispatchers(member), homes, environment.ownName,
        isCold(*environment.view(), member, bootNow()), [&](const std::string &vm) {
            const auto backoff = dispatcherBackoffs.find({member, vm});
            const bool isAvoided = backoff != dispatcherBackoffs.end() && now < backoff->second;
            return !isAvoided && environment.isReachable(vm);
        });
}

// Returns the home regions in force, as each attempt is subject to the newest configuration.
HomeRegions StatementRouter::State::homesOf(const RoutedStatement &request) const
{
    return gentianplank::homesOf(*environment.view(), request.origin,
                                 request.statement.organisation);
}

// Rejects a statement that no member may serve, or makes it wait for one that soon may.
void StatementRouter::State::rejectOrWait(const PendingStatementPointer &pending,
                                          std::span<const MemberAssessment> assessed,
                                          bool needsPrimary, const std::string &reason)
{
    if (auto refusal = lastingRefusal(assessed, needsPrimary)) {
        pending->done({callerOutcome(pending->request.statement, std::move(*refusal)), "", "", 0});
        return;
    }
    enqueueForRetry(pending, reason);
}

// Whether the configuration keeps the statement from the group's primary.
bool StatementRouter::State::isPrimaryExcluded(const PendingStatement &pending)
{
    const auto record = environment.usablePrimary(pending.request.statement.group);
    return lastingExclusion(assess(pending, true, record), true).has_value();
}

void StatementRouter::State::sendTo(const PendingStatementPointer &pending, const std::string &vm,
                                    const std::string &member, uint64_t epoch)
{
    const Instant now = steadyNow();
    ForwardedStatement &statement = pending->request.statement;
    if (now >= pending->request.deadline) {
        finish(*pending, {callerOutcome(pending->request.statement,
                                        notRun(ErrorCode::Busy,
                                               "deadline exceeded before the statement was sent",
                                               MinRetryAfter)),
                          vm, member, epoch});
        return;
    }
    ++pending->attempts;
    statement.member = member;
    statement.epoch = epoch;
    statement.timeout = health.recordSent(statement, member, pending->request.deadline - now, now);
    ++members[member].inFlight;
    environment.execute(vm, statement,
                        [self = shared_from_this(), pending, vm, member, epoch,
                         use = zones->begin(environment.view(), vm, statement, now)](
                            StatementOutcome outcome) mutable {
                            self->zones->finish(use, outcome, steadyNow());
                            if (self->environment.onPathUsed) {
                                self->environment.onPathUsed(use.distance, use.bytes);
                            }
                            self->handleOutcome(pending, vm, member, epoch, std::move(outcome));
                        });
}

void StatementRouter::State::handleOutcome(const PendingStatementPointer &pending,
                                           const std::string &vm, const std::string &member,
                                           uint64_t epoch, StatementOutcome outcome)
{
    const Instant now = steadyNow();
    MemberObservations &observations = members[member];
    --observations.inFlight;
    observations.expectedWait = outcome.expectedWait;
    observations.loadReportedAt = now;
    if (outcome.isUnreachable) {
        dispatcherBackoffs[{member, vm}] = now + UnreachableDispatcherBackoff;
    }
    const ForwardedStatement &statement = pending->request.statement;
    const auto view = environment.view();
    const auto known = view->members.find(member);
    health.recordOutcome(statement, member,
                         known == view->members.end() ? 0 : known->second.entry.startedAtMs,
                         outcome, now);
    const bool isSafeToRetry = isPlainRead(statement) || statement.opensTransaction;
    const bool hasBetterAnswer =
        pending->firstAnswer && outcome.code != ErrorCode::Lagging && !outcome.isUnreachable;
    if (statement.continuesTransaction || !outcome.code || hasBetterAnswer) {
        finish(*pending,
               {callerOutcome(pending->request.statement, std::move(outcome)), vm, member, epoch});
        return;
    }
    pending->lastReason = outcome.reason;
    logEvent("attempt.failed", {{"id", statement.requestId},
                                {"group", statement.group},
                                {"vm", vm},
                                {"member", member},
                                {"epoch", epoch},
                                {"attempt", pending->attempts},
                                {"fate", static_cast<int>(outcome.execution)},
                                {"expected_wait_ms", toMilliseconds(outcome.expectedWait)},
                                {"why", outcome.reason}});
    switch (outcome.execution) {
    case StatementExecution::NotRun:
        if (outcome.code == ErrorCode::Lagging) {
            // The dispatcher knows no position that satisfies the staleness bound.
            if (isPrimaryExcluded(*pending)) {
                retryOrReject(pending, PositionRetryDelay, outcome);
                return;
            }
            pending->needsPrimary = true;
            attempt(pending);
            return;
        }
        if (!outcome.isUnreachable) {
            pending->failedMembers.insert(member);
        }
        retryOrReject(pending, outcome.isUnreachable ? Duration::zero() : RetryDelay, outcome);
        return;
    case StatementExecution::Answered:
        if (outcome.code == ErrorCode::Lagging) {
            observations.laggingUntil = now + LaggingReplicaBackoff;
            if (isPrimaryExcluded(*pending)) {
                retryOrReject(pending, LaggingReplicaBackoff, outcome);
                return;
            }
        }
        if (guaranteesNoEffect(*outcome.code)) {
            pending->failedMembers.insert(member);
            retryOrReject(pending, epoch == 0 ? Duration::zero() : RetryDelay, outcome);
            return;
        }
        if (tryElsewhere(pending, {outcome, vm, member, epoch})) {
            return;
        }
        break;
    case StatementExecution::Unknown:
        if (isSafeToRetry && statement.kind != ForwardKind::Commit &&
            health.consumeRetry(statement.group)) {
            pending->failedMembers.insert(member);
            outcome.execution = StatementExecution::NotRun;
            retryOrReject(pending, Duration::zero(), outcome);
            return;
        }
        break;
    }
    finish(*pending,
           {callerOutcome(pending->request.statement, std::move(outcome)), vm, member, epoch});
}

void StatementRouter::State::retryOrReject(const PendingStatementPointer &pending, Duration delay,
                                           const StatementOutcome &outcome)
{
    const Instant now = steadyNow();
    // Rejects the statement at once if the member's queue can't serve it before its deadline, or if
    // the queue of the primary, the only member that may serve it, rejected it.
    const bool isRetryPointless = outcome.retryAfter > pending->request.deadline - now ||
                                  (needsPrimary(pending->request) &&
                                   outcome.retryAfter > Duration::zero() && !outcome.isUnreachable);
    if (pending->attempts >= MaxAttempts || now + delay >= pending->request.deadline ||
        isRetryPointless) {
        StatementOutcome rejection =
            notRun(ErrorCode::Busy, outcome.reason, std::max(outcome.retryAfter, MinRetryAfter));
        finish(*pending,
               {callerOutcome(pending->request.statement, std::move(rejection)), "", "", 0});
        return;
    }
    if (delay <= Duration::zero()) {
        attempt(pending);
        return;
    }
    pending->notBefore = now + delay;
    enqueueForRetry(pending, outcome.reason);
}

void StatementRouter::State::enqueueForRetry(const PendingStatementPointer &pending,
                                             const std::string &reason)
{
    pending->lastReason = reason;
    if (!pending->isWaiting) {
        pending->isWaiting = true;
        waiting.push_back(pending);
    }
}

// Sends a read that failed at a doubtful member to another one. Returns false if that isn't
// possible; otherwise the answer is kept for the case that the other member can't answer.
bool StatementRouter::State::tryElsewhere(const PendingStatementPointer &pending,
                                          RoutedOutcome answer)
{
    const ForwardedStatement &statement = pending->request.statement;
    const Instant now = steadyNow();
    const bool isMembersFault =
        answer.outcome.code == ErrorCode::Failed || answer.outcome.code == ErrorCode::Other;
    if (pending->firstAnswer || !isMembersFault || !isPlainRead(statement) ||
        needsPrimary(pending->request) || now >= pending->request.deadline ||
        !health.mayBeAtFault(statement, answer.member, now)) {
        return false;
    }
    pending->failedMembers.insert(answer.member);
    health.addDoubtful(statement, now, pending->failedMembers);
    const auto assessed =
        assess(*pending, pending->needsPrimary, environment.usablePrimary(statement.group));
    const MemberAssessment *best = bestMember(assessed);
    if (best == nullptr || best->candidate.isAvoided || !health.consumeRetry(statement.group)) {
        return false;
    }
    pending->firstAnswer = std::move(answer);
    attempt(pending);
    return true;
}

// Reports the outcome to the caller, or the answer that an earlier attempt got if the last one got
// none that is better.
void StatementRouter::State::finish(const PendingStatement &pending, RoutedOutcome outcome)
{
    if (outcome.outcome.code && pending.firstAnswer) {
        outcome = *pending.firstAnswer;
    }
    pending.done(std::move(outcome));
}

StatementRouter::StatementRouter(Place ownPlace, RouterEnvironment environment, ZoneOptions zones)
    : m_state(std::make_shared<State>())
{
    m_state->zones = std::make_unique<ZoneRouting>(ownPlace, std::move(zones));
    m_state->ownPlace = std::move(ownPlace);
    m_state->environment = std::move(environment);
}

StatementRouter::~StatementRouter() = default;

void StatementRouter::route(RoutedStatement statement, std::function<void(RoutedOutcome)> done)
{
    auto pending = std::make_shared<PendingStatement>();
    pending->request = std::move(statement);
    pending->done = std::move(done);
    m_state->health.countStatement(pending->request.statement.group);
    m_state->attempt(pending);
}

std::map<std::string, Evidence> StatementRouter::evidenceOf(const std::string &group) const
{
    return m_state->health.evidenceOf(group, steadyNow());
}

AttemptPlan StatementRouter::plan(const RoutedStatement &statement) const
{
    PendingStatement pending;
    pending.request = statement;
    AttemptPlan plan = m_state->plan(pending);
    plan.shares = m_state->zones->shares(statement.statement.group, plan.members);
    return plan;
}

void StatementRouter::retryWaiting()
{
    const Instant now = steadyNow();
    auto current = std::exchange(m_state->waiting, {});
    for (const PendingStatementPointer &pending : current) {
        if (now < pending->notBefore && now < pending->request.deadline) {
            m_state->waiting.push_back(pending);
            continue;
        }
        pending->isWaiting = false;
        if (now >= pending->request.deadline) {
            State::finish(*pending, {callerOutcome(pending->request.statement,
                                                   notRun(ErrorCode::Busy, pending->lastReason,
                                                          NoPrimaryRetryAfter)),
                                     "", "", 0});
            continue;
        }
        m_state->attempt(pending);
    }
}

void StatementRouter::tick()
{
    retryWaiting();
    std::erase_if(m_state->dispatcherBackoffs,
                  [now = steadyNow()](const auto &it) { return it.second < now; });
}

} // namespace gentianplank
