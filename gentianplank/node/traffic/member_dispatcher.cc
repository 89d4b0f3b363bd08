#include "gentianplank/node/traffic/member_dispatcher_state.h"

#include "gentianplank/base/event_log.h"

#include <algorithm>

namespace gentianplank {

namespace asio = boost::asio;

namespace {

// Connections left to the system itself, to ask a member for its status.
constexpr uint32_t OwnConnections = 1;
// Positions of the primary are kept fresh for this long after a read needed one.
constexpr Duration PositionsWanted = std::chrono::seconds(2);
// A VM that need not dispatch keeps idle connections this long, in case it is asked again.
constexpr Duration SparePause = std::chrono::seconds(1);

} // namespace

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
    const QueuedStatement queued{job->number,   job->statement.organisation, 1, 1,
                                 job->deadline, job->statement.priority};
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
            const Duration wait = expectedWait(queue, other->statement.organisation, 1);
            tell(other, notRun(ErrorCode::Busy, "others in the member's queue leave it no time",
                               std::max(wait, ShortestHint)));
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
    endTurn(job);
    stalled.push_back(job);
}

// Gives a statement's slot back.
void MemberDispatcher::State::endTurn(const JobPointer &job)
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

MemberDispatcher::MemberDispatcher(asio::io_context &ioContext, DispatcherEnvironment environment,
                                   MemberEntry entry, DispatcherLimits limits)
    : m_state(std::make_unique<State>(ioContext, std::move(environment), std::move(entry), limits))
{}

MemberDispatcher::~MemberDispatcher() = default;

void MemberDispatcher::update(const MemberEntry &entry, const DispatcherLimits &limits)
{
    const bool isOther =
        entry.address != m_state->entry.address || entry.startedAtMs != m_state->entry.startedAtMs;
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
        m_state->evictIdle();
    }
    m_state->freed();
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
