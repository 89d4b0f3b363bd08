#include "gentianplank/node/traffic/member_dispatcher_state.h"

#include "gentianplank/base/event_log.h"

#include <algorithm>

namespace gentianplank {

namespace {

// Opening a connection takes a slot of the member, which may be busy with its longest statement.
constexpr Duration OpenTimeout = std::chrono::milliseconds(700);
// Setup steps before a statement take no slot of the member.
constexpr Duration SetupStepTimeout = std::chrono::milliseconds(500);
// Statements are rejected for this long after the member could not be reached.
constexpr Duration UnreachableBackoff = std::chrono::milliseconds(150);

// Idle connections are kept open up to 1/IdleLimitDivisor of the connection limit, less those in
// use, but at least MinIdleConnections.
constexpr size_t IdleLimitDivisor = 2;
constexpr size_t MinIdleConnections = 2;
// Statements prepared on one connection before it is reset. Sessions of one organisation share the
// connection, and each may bring others.
constexpr size_t MaxPreparedStatements = 200;

} // namespace

// Returns an idle connection of the statement's organisation, preferably one that already has the
// session's values; null if there is none.
std::shared_ptr<MemberLink> MemberDispatcher::State::acquireIdle(const Job &job)
{
    auto best = idle.end();
    bool bestFits = false;
    for (auto it = idle.begin(); it != idle.end(); ++it) {
        if (it->link->organisation() != job.statement.organisation || !it->link->isOpen()) {
            continue;
        }
        const bool fits = it->link->values == job.statement.values;
        if (best == idle.end() || (fits && !bestFits)) {
            best = it;
            bestFits = fits;
        }
    }
    if (best == idle.end()) {
        return nullptr;
    }
    auto link = best->link;
    idle.erase(best);
    return link;
}

// Closes the connection that has been idle longest, to make room for another organisation.
bool MemberDispatcher::State::evictIdle()
{
    if (idle.empty()) {
        return false;
    }
    const auto link = idle.front().link;
    idle.pop_front();
    discard(link);
    return true;
}

void MemberDispatcher::State::openLink(const JobPointer &job)
{
    environment.onConnectionOpened();
    const MemberLinkParameters parameters{entry.address, entry.group, entry.id,
                                          job->statement.organisation, environment.memory};
    job->link = MemberLink::open(ioContext, parameters, OpenTimeout,
                                 [weak = self, job](const MemberReply &reply) {
                                     if (auto owner = weak.lock()) {
                                         owner->m_state->handleOpened(job, reply);
                                     }
                                 });
    links.push_back(job->link);
}

void MemberDispatcher::State::handleOpened(const JobPointer &job, const MemberReply &reply)
{
    if (reply.kind != MemberReply::Kind::Answer || reply.code) {
        handleOpenFailure(job, reply);
        return;
    }
    lastReplyAt = steadyNow();
    unreachableUntil = {};
    if (isLoggedUnreachable) {
        isLoggedUnreachable = false;
        logEvent("member.reached", {{"member", entry.id}, {"group", entry.group}});
    }
    logEvent("connection.opened", {{"connection", job->link->number()},
                                   {"member", entry.id},
                                   {"group", entry.group},
                                   {"organisation", job->link->organisation()},
                                   {"for", job->statement.requestId}});
    job->link->onIdleClose([weak = self, link = job->link.get()] {
        auto owner = weak.lock();
        if (!owner) {
            return;
        }
        State &state = *owner->m_state;
        std::erase_if(state.links, [&](const auto &it) { return it.get() == link; });
        std::erase_if(state.idle, [&](const IdleLink &it) { return it.link.get() == link; });
        std::erase_if(state.pinned, [&](const auto &it) { return it.second.link.get() == link; });
        state.resumeStalled();
    });
    prepareLink(job);
}

void MemberDispatcher::State::handleOpenFailure(const JobPointer &job, const MemberReply &reply)
{
    discard(job->link);
    job->link = nullptr;
    const Instant now = steadyNow();
    if (reply.code == ErrorCode::TooManyConnections) {
        reducedCap = static_cast<uint32_t>(links.size());
        reducedCapUntil = now + ConnectionLimitBackoff;
        logEvent("member.full", {{"member", entry.id}, {"own_connections", links.size()}});
        assignConnection(job);
        return;
    }
    if (reply.code == ErrorCode::Busy) {
        finish(job, notRun(ErrorCode::Busy, "the member is busy", MinRetryAfter));
        return;
    }
    const std::string reason = "connecting to " + entry.address + ": " + reply.text;
    finish(job, unreachable(reason));
    markUnreachable(reason);
}

// Makes a connection available to the next statements of its organisation.
void MemberDispatcher::State::keepIdle(const std::shared_ptr<MemberLink> &link)
{
    if (!link->isOpen()) {
        discard(link);
        return;
    }
    idle.push_back({link, steadyNow()});
    while (idle.size() > maxIdle()) {
        evictIdle();
    }
}

// A member keeps the connections of a VM that lost power for seconds; the next dispatcher needs
// some besides them.
size_t MemberDispatcher::State::maxIdle() const
{
    const size_t maxKept = limits.connections / IdleLimitDivisor;
    const size_t inUse = links.size() - idle.size();
    return std::max(MinIdleConnections, maxKept - std::min(maxKept, inUse));
}

// Removes a connection and closes it.
void MemberDispatcher::State::discard(const std::shared_ptr<MemberLink> &link)
{
    std::erase(links, link);
    std::erase_if(idle, [&](const IdleLink &it) { return it.link == link; });
    link->onIdleClose(nullptr);
    link->close();
}

// Rolls back what runs on a connection and makes it available again, or closes it.
void MemberDispatcher::State::rollBack(const std::shared_ptr<MemberLink> &link)
{
    if (!mayRollBack(*link)) {
        discard(link);
        resumeStalled();
        return;
    }
    link->request(
        platform::encodeStatement(platform::InternalRequestId, platform::rollbackText(), {}),
        SetupStepTimeout, [weak = self, link](const MemberReply &reply) {
            auto owner = weak.lock();
            if (!owner) {
                return;
            }
            State &state = *owner->m_state;
            if (reply.kind == MemberReply::Kind::Answer && reply.state == TransactionState::Idle) {
                state.keepIdle(link);
            } else {
                state.discard(link);
            }
            state.resumeStalled();
        });
}

// Sets up the connection for the session (values, prepared statement, transaction), then sends the
// statement.
void MemberDispatcher::State::prepareLink(const JobPointer &job)
{
    MemberLink &link = *job->link;
    const ForwardedStatement &statement = job->statement;
    std::deque<std::string> steps;
    const bool hasStaleValue =
        std::any_of(link.values.begin(), link.values.end(),
                    [&](const auto &it) { return statement.values.count(it.first) == 0; });
    const bool hasTooManyStatements =
        link.prepared.size() >= MaxPreparedStatements && !statement.continuesTransaction;
    if (hasStaleValue || hasTooManyStatements) {
        steps.push_back(platform::resetText());
        link.values.clear();
        link.prepared.clear();
    }
    for (const auto &[name, value] : statement.values) {
        const auto known = link.values.find(name);
        if (known == link.values.end() || known->second != value) {
            steps.push_back(platform::setText(name, value));
            link.values[name] = value;
        }
    }
    if (statement.prepared) {
        const std::string name = "s" + std::to_string(link.prepared.size() + 1);
        if (link.prepared.try_emplace(*statement.prepared, name).second) {
            steps.push_back(platform::prepareText(name, *statement.prepared));
        }
    }
    if (statement.opensTransaction) {
        steps.push_back(platform::beginText(statement.isReadOnly));
    }
    runSetupSteps(job, std::move(steps));
}

void MemberDispatcher::State::runSetupSteps(const JobPointer &job, std::deque<std::string> steps)
{
    if (steps.empty()) {
        sendIfPermitted(job);
        return;
    }
    const std::string text = std::move(steps.front());
    steps.pop_front();
    const bool isBegin = job->statement.opensTransaction && steps.empty();
    const auto requiredPosition = isBegin ? job->statement.requiredPosition : std::nullopt;
    markSetupStep(job);
    job->link->request(
        platform::encodeStatement(platform::InternalRequestId, text, requiredPosition),
        SetupStepTimeout,
        [weak = self, job, isBegin, steps = std::move(steps)](MemberReply reply) mutable {
            auto owner = weak.lock();
            if (!owner) {
                return;
            }
            State &state = *owner->m_state;
            // After an error in a setup step other than BEGIN, the state of the session on this
            // connection is unknown.
            const bool isStateUnknown = reply.code && !isBegin;
            if (reply.kind != MemberReply::Kind::Answer || isStateUnknown) {
                state.handleConnectionFailure(job, reply);
            } else if (reply.code) {
                state.handleAnswer(job, std::move(reply));
            } else {
                state.lastReplyAt = steadyNow();
                state.runSetupSteps(job, std::move(steps));
            }
        });
}

void MemberDispatcher::State::sendStatement(const JobPointer &job)
{
    const ForwardedStatement &statement = job->statement;
    const Instant now = steadyNow();
    const bool hasPrimaryLease =
        statement.epoch == 0 || environment.mayUsePrimary(statement.group, statement.epoch);
    if (!hasPrimaryLease || now + MinRemainingTime > job->deadline) {
        const auto link = job->link;
        const bool wasOpened = statement.opensTransaction;
        if (statement.continuesTransaction || wasOpened) {
            pinned.erase(statement.session);
            rollBack(link);
        } else {
            keepIdle(link);
        }
        const ErrorCode code =
            statement.continuesTransaction ? ErrorCode::Aborted : ErrorCode::Busy;
        StatementOutcome outcome =
            hasPrimaryLease
                ? notRun(code, "deadline exceeded before the statement was sent", MinRetryAfter)
                : notRun(code, "this VM holds no valid lease on the group's primary");
        outcome.isUnreachable = !hasPrimaryLease;
        finish(job, std::move(outcome));
        return;
    }
    std::string text = statement.text;
    if (statement.prepared) {
        text = platform::executeText(job->link->prepared[*statement.prepared], statement.text);
    }
    const bool needsPosition = statement.requiredPosition && statement.kind == ForwardKind::Read &&
                               !statement.opensTransaction && !statement.continuesTransaction;
    job->isSent = true;
    job->sentAt = now;
    job->lastRequestAt = now;
    job->sentAtBoot = bootNow();
    job->link->request(
        platform::encodeStatement(statement.requestId, text,
                                  needsPosition ? statement.requiredPosition : std::nullopt),
        job->deadline - now, [weak = self, job](MemberReply reply) {
            auto owner = weak.lock();
            if (!owner) {
                return;
            }
            if (reply.kind == MemberReply::Kind::Answer) {
                owner->m_state->handleAnswer(job, std::move(reply));
            } else {
                owner->m_state->handleConnectionFailure(job, reply);
            }
        });
}

void MemberDispatcher::State::handleAnswer(const JobPointer &job, MemberReply reply)
{
    const ForwardedStatement &statement = job->statement;
    lastReplyAt = steadyNow();
    if (reply.code == ErrorCode::NoStatement && statement.prepared && !job->wasReprepared &&
        reply.state != TransactionState::Failed && !statement.opensTransaction) {
        job->wasReprepared = true;
        job->link->prepared.clear();
        prepareLink(job);
        return;
    }
    StatementOutcome outcome;
    outcome.execution = StatementExecution::Answered;
    outcome.code = reply.code;
    outcome.reason = reply.text;
    outcome.lines = std::move(reply.lines);
    outcome.state = reply.state;
    outcome.position = reply.position;
    if (statement.epoch != 0 && job->isSent) {
        if (!environment.mayUsePrimary(statement.group, statement.epoch)) {
            outcome = unknownOutcome(ErrorCode::Unknown,
                                     "the group's primary changed before the member answered");
        } else if (!reply.code && reply.position) {
            environment.onPrimaryPosition(statement.group, statement.epoch,
                                          {*reply.position, job->sentAtBoot});
        }
    }
    outcome.timeAtMember = job->isSent ? lastReplyAt - job->sentAt : Duration::zero();
    updateTransaction(job, reply);
    finish(job, std::move(outcome));
}

// Pins the connection to a transaction that is open, or makes it available to others.
void MemberDispatcher::State::updateTransaction(const JobPointer &job, const MemberReply &reply)
{
    const ForwardedStatement &statement = job->statement;
    const auto link = job->link;
    switch (reply.state) {
    case TransactionState::Open:
        if (statement.opensTransaction || statement.continuesTransaction) {
            pinned[statement.session] = {link, statement.epoch, steadyNow(), false};
            return;
        }
        break;
    case TransactionState::Failed:
        break;
    case TransactionState::Idle:
        pinned.erase(statement.session);
        keepIdle(link);
        return;
    }
    pinned.erase(statement.session);
    rollBack(link);
}

// Ends a statement whose connection was lost, timed out or failed in a setup step.
void MemberDispatcher::State::handleConnectionFailure(const JobPointer &job,
                                                      const MemberReply &reply)
{
    const ForwardedStatement &statement = job->statement;
    pinned.erase(statement.session);
    discard(job->link);
    if (job->isSent) {
        const bool isLate = reply.kind == MemberReply::Kind::TimedOut;
        StatementOutcome outcome = unknownOutcome(isLate ? ErrorCode::Timeout : ErrorCode::Unknown,
                                                  "no answer from the member: " + reply.text);
        if (reply.kind != MemberReply::Kind::Closed) {
            outcome.unansweredFor = steadyNow() - job->sentAt;
        }
        finish(job, std::move(outcome));
        return;
    }
    finish(job,
           statement.continuesTransaction
               ? notRun(ErrorCode::Aborted, "the transaction's connection to the member was lost")
               : unreachable("the connection to " + entry.address + " was lost: " + reply.text));
}

void MemberDispatcher::State::finish(const JobPointer &job, StatementOutcome outcome)
{
    releaseSlot(job);
    recordHealth(*job, outcome);
    const auto it = pinned.find(job->statement.session);
    if (it != pinned.end()) {
        it->second.isRunning = false;
        it->second.idleSince = steadyNow();
    }
    reportOutcome(job, std::move(outcome));
    resumeStalled();
}

// Reports the outcome to the sender of the statement.
void MemberDispatcher::State::reportOutcome(const JobPointer &job, StatementOutcome outcome) const
{
    outcome.memberReads = evidenceOf(reads, steadyNow());
    outcome.connection = job->link ? job->link->number() : 0;
    outcome.expectedWait = expectedWaitOf(*job);
    if (outcome.code && outcome.execution != StatementExecution::Answered) {
        logEvent("dispatch.failed", {{"id", job->statement.requestId},
                                     {"member", entry.id},
                                     {"organisation", job->statement.organisation},
                                     {"epoch", job->statement.epoch},
                                     {"waited_ms", toMilliseconds(steadyNow() - job->arrivedAt)},
                                     {"sent", job->isSent},
                                     {"queued", queue.waiting},
                                     {"running", running()},
                                     {"connections", links.size()},
                                     {"why", outcome.reason}});
    }
    job->done(std::move(outcome));
}

// Rejects all waiting statements, which other VMs or members may serve.
void MemberDispatcher::State::markUnreachable(const std::string &reason)
{
    unreachableUntil = steadyNow() + UnreachableBackoff;
    unreachableReason = reason;
    if (!isLoggedUnreachable) {
        isLoggedUnreachable = true;
        logEvent("member.unreachable",
                 {{"member", entry.id}, {"group", entry.group}, {"why", reason}});
    }
    rejectQueued(reason);
    environment.onUnreachable(entry, reason);
}

// Rejects all statements outside transactions that wait for a slot or a connection.
void MemberDispatcher::State::rejectQueued(const std::string &reason)
{
    auto jobs = std::move(waiting);
    waiting.clear();
    for (const auto &[number, job] : jobs) {
        remove(queue, job->statement.organisation, number);
    }
    auto stalledJobs = std::move(stalled);
    stalled.clear();
    for (const auto &[number, job] : jobs) {
        reportOutcome(job, unreachable(reason));
    }
    for (const JobPointer &job : stalledJobs) {
        reportOutcome(job, unreachable(reason));
    }
}

} // namespace gentianplank
