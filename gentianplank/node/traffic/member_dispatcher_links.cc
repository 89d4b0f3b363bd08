#include "gentianplank/node/traffic/member_dispatcher_state.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/http/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace gentianplank {

namespace asio = boost::asio;

namespace {

// Opening takes a slot of the member, which may be busy with its longest statement.
constexpr Duration OpenTimeout = std::chrono::milliseconds(700);
// Steps of our own before a statement take no slot.
constexpr Duration SetupStepTimeout = std::chrono::milliseconds(500);
// How soon a member that could not be reached is tried again.
constexpr Duration UnreachableBackoff = std::chrono::milliseconds(150);
// A member that is silent for this long, with something to answer, is checked for life: longer
// than nearly all statements take.
constexpr Duration LivenessCheckDelay = std::chrono::milliseconds(250);
// Several times the way within a region and back.
constexpr Duration LivenessCheckTimeout = std::chrono::milliseconds(250);

// Of a member's connections, this part stays open for want of use; a few do however many are in
// use.
constexpr size_t IdleLimitDivisor = 2;
constexpr size_t MinIdleConnections = 2;

std::string preparedName(const PreparedStatement &statement)
{
    return (statement.writes ? "w-" : "r-") + statement.shape;
}

} // namespace

// Prefers a connection on which the session's values are in force already.
std::shared_ptr<MemberLink> MemberDispatcher::State::acquireIdle(const Job &job)
{
    auto best = idle.end();
    bool bestFits = false;
    for (auto it = idle.begin(); it != idle.end(); ++it) {
        if (it->organisation != job.statement.organisation || !it->link->isOpen()) {
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
                                          job->statement.organisation};
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

void MemberDispatcher::State::keepIdle(const std::shared_ptr<MemberLink> &link,
                                       const std::string &organisation)
{
    if (!link->isOpen()) {
        discard(link);
        return;
    }
    idle.push_back({link, organisation, steadyNow()});
    while (idle.size() > maxIdle()) {
        evictIdle();
    }
}

// A member holds the connections of a VM that lost power for seconds; whoever dispatches next needs
// room beside them.
size_t MemberDispatcher::State::maxIdle() const
{
    const size_t maxKept = limits.connections / IdleLimitDivisor;
    const size_t inUse = links.size() - idle.size();
    return std::max(MinIdleConnections, maxKept - std::min(maxKept, inUse));
}

void MemberDispatcher::State::discard(const std::shared_ptr<MemberLink> &link)
{
    std::erase(links, link);
    std::erase_if(idle, [&](const IdleLink &it) { return it.link == link; });
    link->onIdleClose(nullptr);
    link->close();
}

void MemberDispatcher::State::rollBack(const std::shared_ptr<MemberLink> &link,
                                       const std::string &organisation)
{
    if (!link->isOpen() || link->isBusy()) {
        discard(link);
        resumeStalled();
        return;
    }
    link->request(platform::encodeStatement(platform::OwnRequestId, platform::rollbackText(), {}),
                  SetupStepTimeout, [weak = self, link, organisation](const MemberReply &reply) {
                      auto owner = weak.lock();
                      if (!owner) {
                          return;
                      }
                      State &state = *owner->m_state;
                      if (reply.kind == MemberReply::Kind::Answer &&
                          reply.state == TransactionState::Idle) {
                          state.keepIdle(link, organisation);
                      } else {
                          state.discard(link);
                      }
                      state.resumeStalled();
                  });
}

// Makes the connection fit the session: its values, the prepared statement, the transaction.
void MemberDispatcher::State::prepareLink(const JobPointer &job)
{
    MemberLink &link = *job->link;
    const ForwardedStatement &statement = job->statement;
    std::deque<std::string> steps;
    const bool hasStaleValue =
        std::any_of(link.values.begin(), link.values.end(),
                    [&](const auto &it) { return statement.values.count(it.first) == 0; });
    if (hasStaleValue) {
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
        const std::string name = preparedName(*statement.prepared);
        if (link.prepared.count(name) == 0) {
            steps.push_back(platform::prepareText(name, *statement.prepared));
            link.prepared[name] = *statement.prepared;
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
        sendStatement(job);
        return;
    }
    const std::string text = std::move(steps.front());
    steps.pop_front();
    const bool isBegin = job->statement.opensTransaction && steps.empty();
    const auto requiredPosition = isBegin ? job->statement.requiredPosition : std::nullopt;
    job->lastRequestAt = steadyNow();
    job->link->request(
        platform::encodeStatement(platform::OwnRequestId, text, requiredPosition), SetupStepTimeout,
        [weak = self, job, isBegin, steps = std::move(steps)](MemberReply reply) mutable {
            auto owner = weak.lock();
            if (!owner) {
                return;
            }
            State &state = *owner->m_state;
            // After an error of such a step, what the connection knows of the session is not
            // certain.
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
            rollBack(link, statement.organisation);
        } else {
            keepIdle(link, statement.organisation);
        }
        const ErrorCode code =
            statement.continuesTransaction ? ErrorCode::Aborted : ErrorCode::Busy;
        StatementOutcome outcome =
            hasPrimaryLease ? notRun(code, "its time was over before it was sent", MinRetryAfter)
                            : notRun(code, "this VM may not use the group's primary now");
        outcome.isUnreachable = !hasPrimaryLease;
        finish(job, std::move(outcome));
        return;
    }
    std::string text = statement.text;
    if (statement.prepared) {
        text = platform::executeText(preparedName(*statement.prepared), statement.text);
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
                                     "the group's primary changed before the answer came");
        } else if (!reply.code && reply.position) {
            environment.onPrimaryPosition(statement.group, statement.epoch,
                                          {*reply.position, job->sentAtBoot});
        }
    }
    outcome.timeAtMember = job->isSent ? lastReplyAt - job->sentAt : Duration::zero();
    updateTransaction(job, reply);
    finish(job, std::move(outcome));
}

// Keeps the connection for the transaction, or makes it free for others.
void MemberDispatcher::State::updateTransaction(const JobPointer &job, const MemberReply &reply)
{
    const ForwardedStatement &statement = job->statement;
    const auto link = job->link;
    switch (reply.state) {
    case TransactionState::Open:
        if (statement.opensTransaction || statement.continuesTransaction) {
            pinned[statement.session] = {link, statement.organisation, statement.epoch, steadyNow(),
                                         false};
            return;
        }
        break;
    case TransactionState::Failed:
        break;
    case TransactionState::Idle:
        pinned.erase(statement.session);
        keepIdle(link, statement.organisation);
        return;
    }
    pinned.erase(statement.session);
    rollBack(link, statement.organisation);
}

void MemberDispatcher::State::handleConnectionFailure(const JobPointer &job,
                                                      const MemberReply &reply)
{
    const ForwardedStatement &statement = job->statement;
    pinned.erase(statement.session);
    discard(job->link);
    if (job->isSent) {
        const bool isLate = reply.kind == MemberReply::Kind::TimedOut;
        finish(job, unknownOutcome(isLate ? ErrorCode::Timeout : ErrorCode::Unknown,
                                   "the member's answer did not come: " + reply.text));
        return;
    }
    finish(job, statement.continuesTransaction
                    ? notRun(ErrorCode::Aborted, "the transaction's connection broke")
                    : unreachable("the connection to " + entry.address + " broke: " + reply.text));
}

void MemberDispatcher::State::finish(const JobPointer &job, StatementOutcome outcome)
{
    releaseSlot(job);
    const auto it = pinned.find(job->statement.session);
    if (it != pinned.end()) {
        it->second.isRunning = false;
        it->second.idleSince = steadyNow();
    }
    reportOutcome(job, std::move(outcome));
    resumeStalled();
}

// Tells who sent the statement what became of it.
void MemberDispatcher::State::reportOutcome(const JobPointer &job, StatementOutcome outcome) const
{
    outcome.expectedWait = gentianplank::expectedWait(queue, job->statement.organisation, 1);
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

// Refuses what waits: other VMs or members may serve it.
void MemberDispatcher::State::markUnreachable(const std::string &reason)
{
    unreachableUntil = steadyNow() + UnreachableBackoff;
    unreachableReason = reason;
    if (!isLoggedUnreachable) {
        isLoggedUnreachable = true;
        logEvent("member.unreachable",
                 {{"member", entry.id}, {"group", entry.group}, {"why", reason}});
    }
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
    environment.onUnreachable(entry, reason);
}

// A member that takes new connections is alive, if slow; one that does not is given up.
void MemberDispatcher::State::checkLiveness(Instant now)
{
    const bool isOverdue = std::any_of(active.begin(), active.end(), [&](const JobPointer &it) {
        return it->lastRequestAt != Instant{} &&
               now - std::max(it->lastRequestAt, lastReplyAt) > LivenessCheckDelay;
    });
    if (!isOverdue || isCheckingLiveness) {
        return;
    }
    const auto endpoint = parseEndpoint(entry.address);
    if (!endpoint) {
        return;
    }
    isCheckingLiveness = true;
    auto socket = std::make_shared<asio::ip::tcp::socket>(ioContext);
    auto timer = std::make_shared<asio::steady_timer>(ioContext, LivenessCheckTimeout);
    timer->async_wait([socket](boost::system::error_code ec) {
        if (!ec) {
            resetSocket(*socket);
        }
    });
    socket->async_connect(*endpoint, [weak = self, socket, timer](boost::system::error_code ec) {
        timer->cancel();
        resetSocket(*socket);
        auto owner = weak.lock();
        if (!owner) {
            return;
        }
        State &state = *owner->m_state;
        state.isCheckingLiveness = false;
        if (!ec) {
            state.lastReplyAt = steadyNow();
            return;
        }
        const std::string reason = "no sign of life from " + state.entry.address;
        const auto open = state.links;
        for (const auto &link : open) {
            link->close();
        }
        state.markUnreachable(reason);
    });
}

} // namespace gentianplank
