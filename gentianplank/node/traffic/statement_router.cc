#include "gentianplank/node/traffic/statement_router.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/target/member_choice.h"

#include <algorithm>
#include <list>
#include <set>

namespace gentianplank {

namespace {

// A statement is tried at most this often; each try costs a way to a member.
constexpr int MostAttempts = 5;
// A dispatcher that could not reach a member is not asked again for this long.
constexpr Duration AvoidPause = std::chrono::milliseconds(400);
// A replica that lagged is expected to lag for this long.
constexpr Duration BehindPause = std::chrono::milliseconds(60);
// How long a replica is taken to need for a commit: several times the usual lag.
constexpr Duration ReplicationTime = std::chrono::milliseconds(30);
// What is known of a member's queue is worth nothing after this long.
constexpr Duration LoadMemory = std::chrono::milliseconds(1000);
// A pause before a member is asked again that refused, or whose primary is not known.
constexpr Duration RetryPause = std::chrono::milliseconds(15);
constexpr Duration ShortestHint = std::chrono::milliseconds(50);
constexpr Duration PrimaryHint = std::chrono::milliseconds(300);

struct MemberKnowledge
{
    Duration expectedWait{0};
    Instant loadAt{};
    uint32_t inFlight = 0;
    Instant behindUntil{};
};

struct Run
{
    RoutedStatement request;
    std::function<void(RoutedOutcome)> done;
    int attempts = 0;
    // Members that failed this statement.
    std::set<std::string> avoided;
    Instant notBefore{};
    std::string lastReason;
    // It waits for a primary, or for a member that may serve it.
    bool isWaiting = false;
    // A read that no replica can be asked for.
    bool needsPrimary = false;
};

using RunPointer = std::shared_ptr<Run>;

bool needsPrimary(const RoutedStatement &request)
{
    const ForwardedStatement &statement = request.statement;
    if (request.consistency == Consistency::Primary) {
        return true;
    }
    const bool inPlainTransaction = statement.opensTransaction && !statement.readsOnly;
    return statement.kind == ForwardKind::Write || inPlainTransaction;
}

} // namespace

struct StatementRouter::State : std::enable_shared_from_this<StatementRouter::State>
{
    void attempt(const RunPointer &run);
    void attemptPrimary(const RunPointer &run);
    void attemptReader(const RunPointer &run);
    std::optional<std::string> dispatcherOf(const std::string &member) const;
    void sendTo(const RunPointer &run, const std::string &vm, const std::string &member,
                uint64_t epoch);
    void take(const RunPointer &run, const std::string &vm, const std::string &member,
              uint64_t epoch, StatementOutcome outcome);
    void retryOrRefuse(const RunPointer &run, Duration pause, const StatementOutcome &outcome);
    void wait(const RunPointer &run, const std::string &reason);
    static StatementOutcome settled(const Run &run, StatementOutcome outcome);

    Place ownPlace;
    RouterEnvironment environment;
    std::map<std::string, MemberKnowledge, std::less<>> members;
    std::map<std::pair<std::string, std::string>, Instant> avoidedDispatchers;
    std::list<RunPointer> waiting;
};

void StatementRouter::State::attempt(const RunPointer &run)
{
    const RoutedStatement &request = run->request;
    if (request.statement.continuesTransaction) {
        sendTo(run, request.pinnedVm, request.statement.member, request.statement.epoch);
        return;
    }
    if (run->needsPrimary || needsPrimary(request)) {
        attemptPrimary(run);
    } else {
        attemptReader(run);
    }
}

void StatementRouter::State::attemptPrimary(const RunPointer &run)
{
    const auto record = environment.usablePrimary(run->request.statement.group);
    if (!record) {
        wait(run, "the group has no primary at the moment");
        return;
    }
    const auto vm = dispatcherOf(record->primary);
    if (!vm) {
        wait(run, "no VM reaches the group's primary");
        return;
    }
    run->request.statement.after.reset();
    run->request.statement.freshness.reset();
    sendTo(run, *vm, record->primary, record->epoch);
}

void StatementRouter::State::attemptReader(const RunPointer &run)
{
    const auto view = environment.view();
    const std::string &group = run->request.statement.group;
    const auto record = environment.usablePrimary(group);
    const auto known = view->groups.find(group);
    const Instant now = steadyNow();
    const bool readsOwnWrites = run->request.consistency == Consistency::ReadYourWrites;
    const bool isFreshCommit = readsOwnWrites && run->request.lastCommit &&
                               now - run->request.lastCommitAt < ReplicationTime;
    static const std::vector<std::string> none;
    std::vector<ReadCandidate> candidates;
    const auto ids = view->membersOfGroup.find(group);
    for (const std::string &id : ids == view->membersOfGroup.end() ? none : ids->second) {
        const FleetMember &member = view->members.at(id);
        const bool isPrimary = known != view->groups.end() && known->second.primary == id;
        const bool isLeaving = member.leavingSince != BootInstant{};
        if (isLeaving || (isPrimary && !record) || !dispatcherOf(id)) {
            continue;
        }
        const MemberKnowledge &knowledge = members[id];
        ReadCandidate candidate;
        candidate.id = id;
        candidate.distance = distanceBetween(member.place, ownPlace);
        candidate.isPrimary = isPrimary;
        candidate.expectedWait =
            now - knowledge.loadAt < LoadMemory ? knowledge.expectedWait : Duration::zero();
        candidate.inFlight = knowledge.inFlight;
        candidate.slots = member.entry.slots;
        candidate.isBehind = now < knowledge.behindUntil || isFreshCommit;
        candidate.isAvoided = run->avoided.count(id) != 0;
        candidates.push_back(candidate);
    }
    const auto ranked = rankReaders(candidates);
    if (ranked.empty()) {
        wait(run, "no member of the group can be reached");
        return;
    }
    const ReadCandidate &best = *ranked.front();
    const auto vm = dispatcherOf(best.id);
    if (best.isPrimary) {
        run->request.statement.after.reset();
        run->request.statement.freshness.reset();
        sendTo(run, *vm, best.id, record->epoch);
        return;
    }
    ForwardedStatement &statement = run->request.statement;
    statement.after = readsOwnWrites ? run->request.lastCommit : std::nullopt;
    statement.freshness = run->request.staleness + (bootNow() - run->request.arrivedAt);
    sendTo(run, *vm, best.id, 0);
}

std::optional<std::string> StatementRouter::State::dispatcherOf(const std::string &member) const
{
    const Instant now = steadyNow();
    for (const VmRecord *vm : environment.dispatchers(member)) {
        const auto avoided = avoidedDispatchers.find({member, vm->name});
        const bool isAvoided = avoided != avoidedDispatchers.end() && now < avoided->second;
        if (!isAvoided && environment.isReachable(vm->name)) {
            return vm->name;
        }
    }
    return std::nullopt;
}

void StatementRouter::State::sendTo(const RunPointer &run, const std::string &vm,
                                    const std::string &member, uint64_t epoch)
{
    const Instant now = steadyNow();
    ForwardedStatement &statement = run->request.statement;
    if (now >= run->request.deadline) {
        run->done({settled(*run, notRun(ErrorCode::Busy, "its time is over", ShortestHint)), vm,
                   member, epoch});
        return;
    }
    ++run->attempts;
    statement.member = member;
    statement.epoch = epoch;
    statement.timeout = run->request.deadline - now;
    ++members[member].inFlight;
    environment.execute(
        vm, statement,
        [self = shared_from_this(), run, vm, member, epoch](StatementOutcome outcome) {
            self->take(run, vm, member, epoch, std::move(outcome));
        });
}

void StatementRouter::State::take(const RunPointer &run, const std::string &vm,
                                  const std::string &member, uint64_t epoch,
                                  StatementOutcome outcome)
{
    const Instant now = steadyNow();
    MemberKnowledge &knowledge = members[member];
    --knowledge.inFlight;
    knowledge.expectedWait = outcome.expectedWait;
    knowledge.loadAt = now;
    if (outcome.isUnreachable) {
        avoidedDispatchers[{member, vm}] = now + AvoidPause;
    }
    const ForwardedStatement &statement = run->request.statement;
    const bool isSingleRead = statement.kind == ForwardKind::Read && !statement.opensTransaction;
    const bool keepsNothing = isSingleRead || statement.opensTransaction;
    if (statement.continuesTransaction || !outcome.code) {
        run->done({settled(*run, std::move(outcome)), vm, member, epoch});
        return;
    }
    run->lastReason = outcome.reason;
    logEvent("attempt.failed", {{"id", statement.requestId},
                                {"group", statement.group},
                                {"vm", vm},
                                {"member", member},
                                {"epoch", epoch},
                                {"attempt", run->attempts},
                                {"fate", static_cast<int>(outcome.fate)},
                                {"expected_wait_ms", toMilliseconds(outcome.expectedWait)},
                                {"why", outcome.reason}});
    switch (outcome.fate) {
    case StatementFate::NotRun:
        if (outcome.code == ErrorCode::Lagging) {
            // Its dispatcher knows no position that is fresh enough.
            run->needsPrimary = true;
            attempt(run);
            return;
        }
        if (!outcome.isUnreachable) {
            run->avoided.insert(member);
        }
        retryOrRefuse(run, outcome.isUnreachable ? Duration::zero() : RetryPause, outcome);
        return;
    case StatementFate::Answered:
        if (outcome.code == ErrorCode::Lagging) {
            knowledge.behindUntil = now + BehindPause;
        }
        if (guaranteesNoEffect(*outcome.code)) {
            run->avoided.insert(member);
            retryOrRefuse(run, epoch == 0 ? Duration::zero() : RetryPause, outcome);
            return;
        }
        break;
    case StatementFate::Unknown:
        if (keepsNothing && statement.kind != ForwardKind::Commit) {
            run->avoided.insert(member);
            outcome.fate = StatementFate::NotRun;
            retryOrRefuse(run, Duration::zero(), outcome);
            return;
        }
        break;
    }
    run->done({settled(*run, std::move(outcome)), vm, member, epoch});
}

void StatementRouter::State::retryOrRefuse(const RunPointer &run, Duration pause,
                                           const StatementOutcome &outcome)
{
    const Instant now = steadyNow();
    // A queue that can't serve the statement in time says so at once, and so does its caller hear.
    const bool isHopeless = outcome.retryAfter > run->request.deadline - now ||
                            (needsPrimary(run->request) && outcome.retryAfter > Duration::zero() &&
                             !outcome.isUnreachable);
    if (run->attempts >= MostAttempts || now + pause >= run->request.deadline || isHopeless) {
        StatementOutcome refusal =
            notRun(ErrorCode::Busy, outcome.reason, std::max(outcome.retryAfter, ShortestHint));
        run->done({settled(*run, std::move(refusal)), "", "", 0});
        return;
    }
    if (pause <= Duration::zero()) {
        attempt(run);
        return;
    }
    run->notBefore = now + pause;
    wait(run, outcome.reason);
}

void StatementRouter::State::wait(const RunPointer &run, const std::string &reason)
{
    run->lastReason = reason;
    if (!run->isWaiting) {
        run->isWaiting = true;
        waiting.push_back(run);
    }
}

// Turns what became of the statement into what its caller may be told.
StatementOutcome StatementRouter::State::settled(const Run &run, StatementOutcome outcome)
{
    const ForwardedStatement &statement = run.request.statement;
    const bool inTransaction = statement.continuesTransaction || statement.opensTransaction;
    if (outcome.fate == StatementFate::Answered) {
        return outcome;
    }
    if (outcome.fate == StatementFate::Unknown && statement.kind != ForwardKind::Commit) {
        if (inTransaction) {
            // Its commit was never sent, so the member rolls it back.
            outcome.fate = StatementFate::NotRun;
            outcome.code = ErrorCode::Aborted;
        }
    }
    if (outcome.fate == StatementFate::NotRun && inTransaction) {
        outcome.code = ErrorCode::Aborted;
    }
    outcome.state = inTransaction && statement.kind != ForwardKind::Commit
                        ? TransactionState::Failed
                        : TransactionState::Idle;
    return outcome;
}

StatementRouter::StatementRouter(Place ownPlace, RouterEnvironment environment)
    : m_state(std::make_shared<State>())
{
    m_state->ownPlace = std::move(ownPlace);
    m_state->environment = std::move(environment);
}

StatementRouter::~StatementRouter() = default;

void StatementRouter::route(RoutedStatement statement, std::function<void(RoutedOutcome)> done)
{
    auto run = std::make_shared<Run>();
    run->request = std::move(statement);
    run->done = std::move(done);
    m_state->attempt(run);
}

void StatementRouter::retryWaiting()
{
    const Instant now = steadyNow();
    auto runs = std::move(m_state->waiting);
    m_state->waiting.clear();
    for (const RunPointer &run : runs) {
        if (now < run->notBefore && now < run->request.deadline) {
            m_state->waiting.push_back(run);
            continue;
        }
        run->isWaiting = false;
        if (now >= run->request.deadline) {
            run->done({State::settled(*run, notRun(ErrorCode::Busy, run->lastReason, PrimaryHint)),
                       "", "", 0});
            continue;
        }
        m_state->attempt(run);
    }
}

void StatementRouter::tick()
{
    retryWaiting();
    const Instant now = steadyNow();
    std::erase_if(m_state->avoidedDispatchers, [now](const auto &it) { return it.second < now; });
}

} // namespace gentianplank
