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
constexpr Duration StepTimeout = std::chrono::milliseconds(500);
// How soon a member that could not be reached is tried again.
constexpr Duration UnreachablePause = std::chrono::milliseconds(150);
// A member that is silent for this long, with something to answer, is checked for life: longer
// than nearly all statements take.
constexpr Duration SuspiciousSilence = std::chrono::milliseconds(250);
// Several times the way within a region and back.
constexpr Duration LifeCheckTimeout = std::chrono::milliseconds(250);

// Of a member's connections, this part stays open for want of use; a few do however many are in
// use.
constexpr size_t KeptDivisor = 2;
constexpr size_t LeastIdle = 2;

std::string preparedName(const PreparedStatement &statement)
{
    return (statement.writes ? "w-" : "r-") + statement.shape;
}

} // namespace

// Prefers a connection on which the session's values are in force already.
std::shared_ptr<MemberLink> MemberDispatcher::State::takeIdle(const Job &job)
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
    drop(link);
    return true;
}

void MemberDispatcher::State::openLink(const JobPointer &job)
{
    environment.onConnection();
    const MemberLinkTarget target{entry.address, entry.group, entry.id,
                                  job->statement.organisation};
    job->link = MemberLink::open(ioContext, target, OpenTimeout,
                                 [weak = self, job](const MemberReply &reply) {
                                     if (auto owner = weak.lock()) {
                                         owner->m_state->opened(job, reply);
                                     }
                                 });
    links.push_back(job->link);
}

void MemberDispatcher::State::opened(const JobPointer &job, const MemberReply &reply)
{
    if (reply.kind != MemberReply::Kind::Answer || reply.code) {
        openFailed(job, reply);
        return;
    }
    lastReplyAt = steadyNow();
    unreachableUntil = {};
    if (isKnownUnreachable) {
        isKnownUnreachable = false;
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
        state.freed();
    });
    prepareLink(job);
}

void MemberDispatcher::State::openFailed(const JobPointer &job, const MemberReply &reply)
{
    drop(job->link);
    job->link = nullptr;
    const Instant now = steadyNow();
    if (reply.code == ErrorCode::TooManyConnections) {
        capWhileFull = static_cast<uint32_t>(links.size());
        fullUntil = now + FullPause;
        logEvent("member.full", {{"member", entry.id}, {"own_connections", links.size()}});
        startNew(job);
        return;
    }
    if (reply.code == ErrorCode::Busy) {
        finish(job, notRun(ErrorCode::Busy, "the member is busy", ShortestHint));
        return;
    }
    const std::string reason = "connecting to " + entry.address + ": " + reply.text;
    finish(job, unreachable(reason));
    markUnreachable(reason);
}

void MemberDispatcher::State::park(const std::shared_ptr<MemberLink> &link,
                                   const std::string &organisation)
{
    if (!link->isOpen()) {
        drop(link);
        return;
    }
    idle.push_back({link, organisation, steadyNow()});
    while (idle.size() > mostIdle()) {
        evictIdle();
    }
}

// A member holds the connections of a VM that lost power for seconds; whoever dispatches next needs
// room beside them.
size_t MemberDispatcher::State::mostIdle() const
{
    const size_t kept = limits.connections / KeptDivisor;
    const size_t inUse = links.size() - idle.size();
    return std::max(LeastIdle, kept - std::min(kept, inUse));
}

void MemberDispatcher::State::drop(const std::shared_ptr<MemberLink> &link)
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
        drop(link);
        freed();
        return;
    }
    link->request(platform::encodeStatement(platform::OwnRequestId, platform::rollbackText(), {}),
                  StepTimeout, [weak = self, link, organisation](const MemberReply &reply) {
                      auto owner = weak.lock();
                      if (!owner) {
                          return;
                      }
                      State &state = *owner->m_state;
                      if (reply.kind == MemberReply::Kind::Answer &&
                          reply.state == TransactionState::Idle) {
                          state.park(link, organisation);
                      } else {
                          state.drop(link);
                      }
                      state.freed();
                  });
}

// Makes the connection fit the session: its values, the prepared statement, the transaction.
void MemberDispatcher::State::prepareLink(const JobPointer &job)
{
    MemberLink &link = *job->link;
    const ForwardedStatement &statement = job->statement;
    std::deque<std::string> steps;
    const bool hasForeignValue =
        std::any_of(link.values.begin(), link.values.end(),
                    [&](const auto &it) { return statement.values.count(it.first) == 0; });
    if (hasForeignValue) {
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
        steps.push_back(platform::beginText(statement.readsOnly));
    }
    runSteps(job, std::move(steps));
}

void MemberDispatcher::State::runSteps(const JobPointer &job, std::deque<std::string> steps)
{
    if (steps.empty()) {
        send(job);
        return;
    }
    const std::string text = std::move(steps.front());
    steps.pop_front();
    const bool isBegin = job->statement.opensTransaction && steps.empty();
    const auto after = isBegin ? job->statement.after : std::nullopt;
    job->askedAt = steadyNow();
    job->link->request(
        platform::encodeStatement(platform::OwnRequestId, text, after), StepTimeout,
        [weak = self, job, isBegin, steps = std::move(steps)](MemberReply reply) mutable {
            auto owner = weak.lock();
            if (!owner) {
                return;
            }
            State &state = *owner->m_state;
            // After an error of such a step, what the connection knows of the session is not
            // certain.
            const bool isUncertain = reply.code && !isBegin;
            if (reply.kind != MemberReply::Kind::Answer || isUncertain) {
                state.broken(job, reply);
            } else if (reply.code) {
                state.answered(job, std::move(reply));
            } else {
                state.lastReplyAt = steadyNow();
                state.runSteps(job, std::move(steps));
            }
        });
}

void MemberDispatcher::State::send(const JobPointer &job)
{
    const ForwardedStatement &statement = job->statement;
    const Instant now = steadyNow();
    const bool hasRight =
        statement.epoch == 0 || environment.mayUsePrimary(statement.group, statement.epoch);
    if (!hasRight || now + LeastTime > job->deadline) {
        const auto link = job->link;
        const bool wasOpened = statement.opensTransaction;
        if (statement.continuesTransaction || wasOpened) {
            pinned.erase(statement.session);
            rollBack(link, statement.organisation);
        } else {
            park(link, statement.organisation);
        }
        const ErrorCode code =
            statement.continuesTransaction ? ErrorCode::Aborted : ErrorCode::Busy;
        StatementOutcome outcome =
            hasRight ? notRun(code, "its time was over before it was sent", ShortestHint)
                     : notRun(code, "this VM may not use the group's primary now");
        outcome.isUnreachable = !hasRight;
        finish(job, std::move(outcome));
        return;
    }
    std::string text = statement.text;
    if (statement.prepared) {
        text = platform::executeText(preparedName(*statement.prepared), statement.text);
    }
    const bool needsPosition = statement.after && statement.kind == ForwardKind::Read &&
                               !statement.opensTransaction && !statement.continuesTransaction;
    job->isSent = true;
    job->sentAt = now;
    job->askedAt = now;
    job->sentAtBoot = bootNow();
    job->link->request(platform::encodeStatement(statement.requestId, text,
                                                 needsPosition ? statement.after : std::nullopt),
                       job->deadline - now, [weak = self, job](MemberReply reply) {
                           auto owner = weak.lock();
                           if (!owner) {
                               return;
                           }
                           if (reply.kind == MemberReply::Kind::Answer) {
                               owner->m_state->answered(job, std::move(reply));
                           } else {
                               owner->m_state->broken(job, reply);
                           }
                       });
}

void MemberDispatcher::State::answered(const JobPointer &job, MemberReply reply)
{
    const ForwardedStatement &statement = job->statement;
    lastReplyAt = steadyNow();
    if (reply.code == ErrorCode::NoStatement && statement.prepared && !job->wasPreparedAgain &&
        reply.state != TransactionState::Failed && !statement.opensTransaction) {
        job->wasPreparedAgain = true;
        job->link->prepared.clear();
        prepareLink(job);
        return;
    }
    StatementOutcome outcome;
    outcome.fate = StatementFate::Answered;
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
    outcome.atMember = job->isSent ? lastReplyAt - job->sentAt : Duration::zero();
    settleTransaction(job, reply);
    finish(job, std::move(outcome));
}

// Keeps the connection for the transaction, or makes it free for others.
void MemberDispatcher::State::settleTransaction(const JobPointer &job, const MemberReply &reply)
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
        park(link, statement.organisation);
        return;
    }
    pinned.erase(statement.session);
    rollBack(link, statement.organisation);
}

void MemberDispatcher::State::broken(const JobPointer &job, const MemberReply &reply)
{
    const ForwardedStatement &statement = job->statement;
    pinned.erase(statement.session);
    drop(job->link);
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
    endTurn(job);
    const auto it = pinned.find(job->statement.session);
    if (it != pinned.end()) {
        it->second.isRunning = false;
        it->second.idleSince = steadyNow();
    }
    tell(job, std::move(outcome));
    freed();
}

// Tells who sent the statement what became of it.
void MemberDispatcher::State::tell(const JobPointer &job, StatementOutcome outcome) const
{
    outcome.expectedWait = gentianplank::expectedWait(queue, job->statement.organisation, 1);
    if (outcome.code && outcome.fate != StatementFate::Answered) {
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
    unreachableUntil = steadyNow() + UnreachablePause;
    unreachableReason = reason;
    if (!isKnownUnreachable) {
        isKnownUnreachable = true;
        logEvent("member.unreachable",
                 {{"member", entry.id}, {"group", entry.group}, {"why", reason}});
    }
    auto jobs = std::move(waiting);
    waiting.clear();
    for (const auto &[number, job] : jobs) {
        remove(queue, job->statement.organisation, number);
    }
    auto stopped = std::move(stalled);
    stalled.clear();
    for (const auto &[number, job] : jobs) {
        tell(job, unreachable(reason));
    }
    for (const JobPointer &job : stopped) {
        tell(job, unreachable(reason));
    }
    environment.onUnreachable(entry, reason);
}

// A member that takes new connections is alive, if slow; one that does not is given up.
void MemberDispatcher::State::checkLife(Instant now)
{
    const bool isSuspicious = std::any_of(active.begin(), active.end(), [&](const JobPointer &it) {
        return it->askedAt != Instant{} &&
               now - std::max(it->askedAt, lastReplyAt) > SuspiciousSilence;
    });
    if (!isSuspicious || isCheckingLife) {
        return;
    }
    const auto endpoint = parseEndpoint(entry.address);
    if (!endpoint) {
        return;
    }
    isCheckingLife = true;
    auto socket = std::make_shared<asio::ip::tcp::socket>(ioContext);
    auto timer = std::make_shared<asio::steady_timer>(ioContext, LifeCheckTimeout);
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
        state.isCheckingLife = false;
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
