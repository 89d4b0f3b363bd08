#include "gentianplank/node/member_dispatcher.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/http/endpoint.h"
#include "gentianplank/node/member_link.h"
#include "gentianplank/organisation/fair_queue.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <deque>
#include <list>

namespace gentianplank {

namespace asio = boost::asio;

namespace {

// Several times what fits into the longest statement limit at the usual cost of a statement.
constexpr size_t LongestQueue = 400;
// Opening takes a slot of the member, which may be busy with its longest statement.
constexpr Duration OpenTimeout = std::chrono::milliseconds(700);
// Steps of our own before a statement take no slot.
constexpr Duration StepTimeout = std::chrono::milliseconds(500);
// How soon a member that could not be reached is tried again.
constexpr Duration UnreachablePause = std::chrono::milliseconds(150);
// How long a member that has too many connections is not asked for another. Asking takes a slot of
// the member for about a tenth of this.
constexpr Duration FullPause = std::chrono::milliseconds(150);
// Connections left to the system itself, to ask a member for its status.
constexpr uint32_t OwnConnections = 1;
// A member that is silent for this long, with a statement to answer, is checked for life.
constexpr Duration SuspiciousSilence = std::chrono::milliseconds(250);
constexpr Duration LifeCheckTimeout = std::chrono::milliseconds(250);
// A VM that need not dispatch keeps idle connections this long, in case it is asked again.
constexpr Duration PositionsWanted = std::chrono::seconds(2);
constexpr Duration SparePause = std::chrono::seconds(1);
// A statement must have this much left to be worth starting.
constexpr Duration LeastTime = std::chrono::milliseconds(5);
// To a far member this many statements are under way for each of its slots: of a way of 40 ms and
// statements of 10 to 25 ms, a third is spent in the slot. What comes early waits at the member.
constexpr uint32_t FarStatementsPerSlot = 3;
constexpr Duration ShortestHint = std::chrono::milliseconds(20);

struct Job
{
    ForwardedStatement statement;
    OutcomeHandler done;
    uint64_t number = 0;
    Instant arrivedAt{};
    Instant deadline{};
    // The fair queue counts it as running.
    bool isInQueue = false;
    // It counts as running without the queue.
    bool isBesideQueue = false;
    std::shared_ptr<MemberLink> link;
    // The statement itself is on its way to the member.
    bool isSent = false;
    Instant sentAt{};
    BootInstant sentAtBoot{};
    bool wasPreparedAgain = false;
};

using JobPointer = std::shared_ptr<Job>;

struct IdleLink
{
    std::shared_ptr<MemberLink> link;
    std::string organisation;
    Instant since{};
};

struct PinnedTransaction
{
    std::shared_ptr<MemberLink> link;
    std::string organisation;
    uint64_t epoch = 0;
    Instant idleSince{};
    bool isRunning = false;
};

std::string preparedName(const PreparedStatement &statement)
{
    return (statement.writes ? "w-" : "r-") + statement.shape;
}

} // namespace

struct MemberDispatcher::State
{
    State(asio::io_context &context, DispatcherEnvironment callbacks, MemberEntry member,
          DispatcherLimits figures)
        : ioContext(context)
        , environment(std::move(callbacks))
        , entry(std::move(member))
        , limits(figures)
        , queue(makeFairQueue(LongestQueue))
    {
        queue.slots = entry.slots;
    }

    // The queue.
    void accept(const JobPointer &job);
    void pump();
    void startNew(const JobPointer &job);
    void continueTransaction(const JobPointer &job);
    void freed();
    void expireWaiting(Instant now);
    size_t running() const { return queue.running.size() + besideQueue; }
    size_t mostRunning() const
    {
        return size_t{entry.slots} * (limits.isFar ? FarStatementsPerSlot : 1);
    }

    // Connections.
    std::shared_ptr<MemberLink> takeIdle(const Job &job);
    bool evictIdle();
    void openLink(const JobPointer &job);
    void opened(const JobPointer &job, const MemberReply &reply);
    void openFailed(const JobPointer &job, const MemberReply &reply);
    void park(const std::shared_ptr<MemberLink> &link, const std::string &organisation);
    void drop(const std::shared_ptr<MemberLink> &link);
    void rollBack(const std::shared_ptr<MemberLink> &link, const std::string &organisation);
    uint32_t connectionCap(Instant now) const;

    // The steps of one statement on its connection.
    void prepareLink(const JobPointer &job);
    void runSteps(const JobPointer &job, std::deque<std::string> steps);
    void send(const JobPointer &job);
    void answered(const JobPointer &job, MemberReply reply);
    void broken(const JobPointer &job, const MemberReply &reply);
    void settleTransaction(const JobPointer &job, const MemberReply &reply);
    void finish(const JobPointer &job, StatementOutcome outcome);
    void tell(const JobPointer &job, StatementOutcome outcome) const;

    void markUnreachable(const std::string &reason);
    void checkLife(Instant now);

    std::weak_ptr<MemberDispatcher> self;
    asio::io_context &ioContext;
    DispatcherEnvironment environment;
    MemberEntry entry;
    DispatcherLimits limits;

    FairQueue queue;
    uint64_t nextNumber = 1;
    std::map<uint64_t, JobPointer> waiting;
    std::deque<JobPointer> continuing;
    // Have their turn, but no connection is free.
    std::deque<JobPointer> stalled;
    std::list<JobPointer> active;
    size_t besideQueue = 0;
    bool isPumping = false;

    std::vector<std::shared_ptr<MemberLink>> links;
    std::deque<IdleLink> idle;
    std::map<SessionId, PinnedTransaction> pinned;
    uint32_t capWhileFull = 0;
    Instant fullUntil{};
    Instant unreachableUntil{};
    std::string unreachableReason;
    Instant lastReplyAt{};
    bool isCheckingLife = false;
    bool isFirstChoice = true;
    Instant positionsNeededAt{};
};

// Takes a new statement in, or the next one of a transaction.
void MemberDispatcher::State::accept(const JobPointer &job)
{
    const Instant now = steadyNow();
    if (job->statement.continuesTransaction) {
        continuing.push_back(job);
        pump();
        return;
    }
    if (now < unreachableUntil) {
        tell(job, unreachable(unreachableReason));
        return;
    }
    const QueuedStatement queued{job->number, job->statement.organisation, 1, 1, job->deadline};
    const auto taken = enqueue(queue, queued, now);
    if (!taken) {
        const bool isFull = taken.error().fault == QueueFault::Full;
        tell(job,
             notRun(ErrorCode::Busy,
                    isFull ? "the member's queue is full" : "the member can't serve it in time",
                    taken.error().retryAfter));
        return;
    }
    waiting[job->number] = job;
    if (*taken) {
        const auto evicted = waiting.find(**taken);
        if (evicted != waiting.end()) {
            const JobPointer other = evicted->second;
            waiting.erase(evicted);
            tell(other, notRun(ErrorCode::Busy, "the member's queue is full", ShortestHint));
        }
    }
    pump();
}

void MemberDispatcher::State::pump()
{
    if (isPumping) {
        return;
    }
    isPumping = true;
    const Instant now = steadyNow();
    while (running() < mostRunning()) {
        if (!continuing.empty()) {
            const JobPointer job = continuing.front();
            continuing.pop_front();
            continueTransaction(job);
            continue;
        }
        queue.slots = static_cast<uint32_t>(mostRunning() - std::min(besideQueue, mostRunning()));
        const auto number = next(queue, now);
        if (!number) {
            break;
        }
        const auto it = waiting.find(*number);
        if (it == waiting.end()) {
            gentianplank::finish(queue, *number, now);
            continue;
        }
        const JobPointer job = it->second;
        waiting.erase(it);
        job->isInQueue = true;
        active.push_back(job);
        startNew(job);
    }
    isPumping = false;
}

void MemberDispatcher::State::continueTransaction(const JobPointer &job)
{
    const auto it = pinned.find(job->statement.session);
    if (it == pinned.end() || !it->second.link->isOpen() || it->second.link->isBusy()) {
        tell(job, notRun(ErrorCode::Aborted, "the transaction is no longer open at the member"));
        return;
    }
    it->second.isRunning = true;
    job->link = it->second.link;
    job->isBesideQueue = true;
    ++besideQueue;
    active.push_back(job);
    prepareLink(job);
}

// Gives a statement whose turn has come a connection.
void MemberDispatcher::State::startNew(const JobPointer &job)
{
    if (steadyNow() + LeastTime > job->deadline) {
        finish(job, notRun(ErrorCode::Busy, "its time was over before its turn", ShortestHint));
        return;
    }
    job->link = takeIdle(*job);
    if (job->link) {
        prepareLink(job);
        return;
    }
    if (links.size() < connectionCap(steadyNow()) || evictIdle()) {
        openLink(job);
        return;
    }
    if (links.empty()) {
        finish(job, notRun(ErrorCode::TooManyConnections, "the member has too many connections",
                           FullPause));
        return;
    }
    // The turn goes to others meanwhile.
    active.remove(job);
    if (job->isInQueue) {
        gentianplank::finish(queue, job->number, steadyNow());
        job->isInQueue = false;
    }
    if (job->isBesideQueue) {
        --besideQueue;
        job->isBesideQueue = false;
    }
    stalled.push_back(job);
}

// A connection became free or was closed.
void MemberDispatcher::State::freed()
{
    for (size_t n = stalled.size(); n > 0 && !stalled.empty() && running() < mostRunning(); --n) {
        const JobPointer job = stalled.front();
        stalled.pop_front();
        job->isBesideQueue = true;
        ++besideQueue;
        active.push_back(job);
        startNew(job);
    }
    pump();
}

void MemberDispatcher::State::expireWaiting(Instant now)
{
    const std::string reason = "its time was over while it waited for the member";
    for (const uint64_t number : expire(queue, now)) {
        const auto it = waiting.find(number);
        if (it != waiting.end()) {
            const JobPointer job = it->second;
            waiting.erase(it);
            tell(job, notRun(ErrorCode::Busy, reason, ShortestHint));
        }
    }
    for (auto *list : {&stalled, &continuing}) {
        std::vector<JobPointer> late;
        std::erase_if(*list, [&](const JobPointer &it) {
            if (it->deadline > now) {
                return false;
            }
            late.push_back(it);
            return true;
        });
        for (const JobPointer &it : late) {
            tell(it, notRun(ErrorCode::Busy, reason, ShortestHint));
        }
    }
}

uint32_t MemberDispatcher::State::connectionCap(Instant now) const
{
    const uint32_t cap = std::max(limits.connections, OwnConnections + 1) - OwnConnections;
    return now < fullUntil ? std::min(capWhileFull, cap) : cap;
}

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
    if (link->isOpen()) {
        idle.push_back({link, organisation, steadyNow()});
    } else {
        drop(link);
    }
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
    active.remove(job);
    if (job->isInQueue) {
        job->isInQueue = false;
        gentianplank::finish(queue, job->number, steadyNow());
    }
    if (job->isBesideQueue) {
        job->isBesideQueue = false;
        --besideQueue;
    }
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
    logEvent("member.unreachable", {{"member", entry.id}, {"group", entry.group}, {"why", reason}});
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
        return it->isSent && now - std::max(it->sentAt, lastReplyAt) > SuspiciousSilence;
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

MemberDispatcher::MemberDispatcher(asio::io_context &ioContext, DispatcherEnvironment environment,
                                   MemberEntry entry, DispatcherLimits limits)
    : m_state(std::make_unique<State>(ioContext, std::move(environment), std::move(entry), limits))
{}

MemberDispatcher::~MemberDispatcher() = default;

void MemberDispatcher::update(const MemberEntry &entry, const DispatcherLimits &limits)
{
    const bool isOther =
        entry.address != m_state->entry.address || entry.bornAt != m_state->entry.bornAt;
    m_state->limits = limits;
    m_state->entry = entry;
    if (isOther) {
        close("the member started anew");
    }
    m_state->pump();
}

void MemberDispatcher::execute(ForwardedStatement statement, OutcomeHandler done)
{
    m_state->self = weak_from_this();
    if (statement.freshness) {
        m_state->positionsNeededAt = steadyNow();
        const auto position = m_state->environment.positionCovering(
            statement.group, bootNow() - *statement.freshness);
        if (!position) {
            done(notRun(ErrorCode::Lagging, "no position of the primary is fresh enough"));
            return;
        }
        statement.after = std::max(*position, statement.after.value_or(LogPosition{}));
    }
    auto job = std::make_shared<Job>();
    job->number = m_state->nextNumber++;
    job->arrivedAt = steadyNow();
    job->deadline = job->arrivedAt + statement.timeout;
    job->statement = std::move(statement);
    job->done = std::move(done);
    m_state->accept(job);
}

void MemberDispatcher::endTransaction(const SessionId &session)
{
    const auto it = m_state->pinned.find(session);
    if (it == m_state->pinned.end()) {
        return;
    }
    const PinnedTransaction transaction = it->second;
    m_state->pinned.erase(it);
    m_state->rollBack(transaction.link, transaction.organisation);
}

void MemberDispatcher::endOrigin(uint64_t origin)
{
    std::vector<SessionId> sessions;
    for (const auto &[session, transaction] : m_state->pinned) {
        if (session.origin == origin) {
            sessions.push_back(session);
        }
    }
    for (const SessionId &it : sessions) {
        endTransaction(it);
    }
}

bool MemberDispatcher::usesPrimaryBelow(uint64_t epoch) const
{
    const auto uses = [epoch](uint64_t own) { return own != 0 && own < epoch; };
    return std::any_of(m_state->active.begin(), m_state->active.end(),
                       [&](const JobPointer &it) { return uses(it->statement.epoch); }) ||
           std::any_of(m_state->pinned.begin(), m_state->pinned.end(),
                       [&](const auto &it) { return uses(it.second.epoch); });
}

void MemberDispatcher::breakPrimaryUseBelow(uint64_t epoch)
{
    std::vector<std::shared_ptr<MemberLink>> links;
    for (const JobPointer &it : m_state->active) {
        if (it->statement.epoch != 0 && it->statement.epoch < epoch && it->link) {
            links.push_back(it->link);
        }
    }
    for (const auto &[session, transaction] : m_state->pinned) {
        if (transaction.epoch != 0 && transaction.epoch < epoch) {
            links.push_back(transaction.link);
        }
    }
    for (const auto &link : links) {
        link->close();
    }
}

void MemberDispatcher::setFirstChoice(bool isFirst)
{
    m_state->isFirstChoice = isFirst;
}

void MemberDispatcher::close(const std::string &reason)
{
    auto links = m_state->links;
    logEvent("member.closed",
             {{"member", m_state->entry.id}, {"connections", links.size()}, {"why", reason}});
    for (const auto &link : links) {
        link->close();
    }
}

void MemberDispatcher::tick()
{
    const Instant now = steadyNow();
    m_state->expireWaiting(now);
    m_state->checkLife(now);
    std::vector<SessionId> resting;
    for (const auto &[session, transaction] : m_state->pinned) {
        if (!transaction.isRunning &&
            now - transaction.idleSince > m_state->limits.transactionIdle) {
            resting.push_back(session);
        }
    }
    for (const SessionId &it : resting) {
        logEvent("transaction.idle", {{"member", m_state->entry.id}, {"session", it.session}});
        endTransaction(it);
    }
    while (!m_state->isFirstChoice && !m_state->idle.empty() &&
           now - m_state->idle.front().since > SparePause) {
        m_state->drop(m_state->idle.front().link);
    }
    m_state->freed();
}

Duration MemberDispatcher::expectedWait() const
{
    return gentianplank::expectedWait(m_state->queue, "", 1);
}

bool MemberDispatcher::needsPositions() const
{
    return steadyNow() - m_state->positionsNeededAt < PositionsWanted;
}

bool MemberDispatcher::isIdle() const
{
    return m_state->active.empty() && m_state->waiting.empty() && m_state->pinned.empty() &&
           m_state->stalled.empty() && m_state->continuing.empty();
}

} // namespace gentianplank
