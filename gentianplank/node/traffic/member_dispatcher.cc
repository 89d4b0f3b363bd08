#include "gentianplank/node/traffic/member_dispatcher_state.h"

#include "gentianplank/base/event_log.h"

#include <algorithm>

namespace gentianplank {

namespace asio = boost::asio;

namespace {

// Connections reserved for status probes by the control thread.
constexpr uint32_t ReservedConnections = 1;
// Positions of the primary are sampled for this long after a read needed one.
constexpr Duration PositionDemandPeriod = std::chrono::seconds(2);
// A VM that is not the preferred dispatcher keeps idle connections for this long, in case it gets
// more statements.
constexpr Duration NonPreferredIdleTimeout = std::chrono::seconds(1);

} // namespace

// Queues a new statement, or the next statement of a transaction.
void MemberDispatcher::State::enqueueJob(const JobPointer &job)
{
    const Instant now = steadyNow();
    if (isRetired) {
        reportOutcome(job, unreachable(unreachableReason));
        return;
    }
    if (auto refusal = refusalByConfiguration(*job)) {
        reportOutcome(job, std::move(*refusal));
        return;
    }
    if (auto refusal = coldRefusal(*job)) {
        reportOutcome(job, std::move(*refusal));
        return;
    }
    if (job->statement.continuesTransaction) {
        continuing.push_back(job);
        startQueued();
        return;
    }
    if (now < unreachableUntil) {
        reportOutcome(job, unreachable(unreachableReason));
        return;
    }
    const QueuedStatement queued{job->number,   job->statement.organisation, 1, 1,
                                 job->deadline, job->statement.priority};
    const auto enqueued = enqueue(queue, queued, now);
    if (!enqueued) {
        const bool isFull = enqueued.error().fault == QueueFault::Full;
        reportOutcome(job, notRun(ErrorCode::Busy,
                                  isFull ? "the member's queue is full"
                                         : "the member's queue is too long for the deadline",
                                  enqueued.error().retryAfter));
        return;
    }
    waiting[job->number] = job;
    if (*enqueued) {
        const auto evicted = waiting.find(**enqueued);
        if (evicted != waiting.end()) {
            const JobPointer other = evicted->second;
            waiting.erase(evicted);
            const Duration wait = expectedWait(queue, other->statement.organisation, 1);
            reportOutcome(other, notRun(ErrorCode::Busy,
                                        "displaced in the member's queue by another statement",
                                        std::max(wait, MinRetryAfter)));
        }
    }
    startQueued();
}

// Starts queued statements while slots are free.
void MemberDispatcher::State::startQueued()
{
    if (isStartingQueued || isRetired) {
        return;
    }
    isStartingQueued = true;
    const Instant now = steadyNow();
    while (mayStartAnother()) {
        if (!continuing.empty()) {
            const JobPointer job = continuing.front();
            continuing.pop_front();
            continueTransaction(job);
            continue;
        }
        queue.slots =
            static_cast<uint32_t>(maxRunning() - std::min(runningOutsideQueue, maxRunning()));
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
        job->isCountedByQueue = true;
        active.push_back(job);
        assignConnection(job);
    }
    isStartingQueued = false;
}

void MemberDispatcher::State::continueTransaction(const JobPointer &job)
{
    const auto it = pinned.find(job->statement.session);
    if (it == pinned.end() || !it->second.link->isOpen() || it->second.link->isBusy()) {
        reportOutcome(
            job, notRun(ErrorCode::Aborted, "the transaction is no longer open at the member"));
        return;
    }
    if (it->second.link->organisation() != job->statement.organisation) {
        const auto link = it->second.link;
        pinned.erase(it);
        rollBack(link);
        reportOutcome(
            job, notRun(ErrorCode::Aborted, "the transaction was opened for another organisation"));
        return;
    }
    it->second.isRunning = true;
    reserveAllowance(job);
    job->link = it->second.link;
    job->isCountedOutsideQueue = true;
    ++runningOutsideQueue;
    active.push_back(job);
    prepareLink(job);
}

// Assigns a connection to a statement whose turn has come.
void MemberDispatcher::State::assignConnection(const JobPointer &job)
{
    if (steadyNow() + MinRemainingTime > job->deadline) {
        finish(job,
               notRun(ErrorCode::Busy, "deadline exceeded in the member's queue", MinRetryAfter));
        return;
    }
    reserveAllowance(job);
    const SendPermission permission = permissionFor(false);
    if (permission != SendPermission::Granted) {
        finish(job, refusalOf(permission, false));
        return;
    }
    job->link = acquireIdle(*job);
    if (job->link) {
        prepareLink(job);
        return;
    }
    if (links.size() < connectionCap(steadyNow()) || evictIdle()) {
        chargeAllowance(1);
        openLink(job);
        return;
    }
    if (links.empty()) {
        finish(job, notRun(ErrorCode::TooManyConnections,
                           "the member's connection limit is reached", ConnectionLimitBackoff));
        return;
    }
    // Frees the slot for other statements while this one waits for a connection.
    releaseSlot(job);
    stalled.push_back(job);
}

// Releases the slot of a statement.
void MemberDispatcher::State::releaseSlot(const JobPointer &job)
{
    active.remove(job);
    releaseAllowance(job);
    if (job->isCountedByQueue) {
        job->isCountedByQueue = false;
        gentianplank::finish(queue, job->number, steadyNow());
    }
    if (job->isCountedOutsideQueue) {
        job->isCountedOutsideQueue = false;
        --runningOutsideQueue;
    }
}

// Starts statements that wait for a connection, after one became free or was closed.
void MemberDispatcher::State::resumeStalled()
{
    if (isRetired) {
        return;
    }
    for (size_t n = stalled.size(); n > 0 && !stalled.empty() && mayStartAnother(); --n) {
        const JobPointer job = stalled.front();
        stalled.pop_front();
        job->isCountedOutsideQueue = true;
        ++runningOutsideQueue;
        active.push_back(job);
        assignConnection(job);
    }
    startQueued();
}

void MemberDispatcher::State::expireWaiting(Instant now)
{
    const std::string reason = "deadline exceeded while waiting for the member";
    for (const uint64_t number : expire(queue, now)) {
        const auto it = waiting.find(number);
        if (it != waiting.end()) {
            const JobPointer job = it->second;
            waiting.erase(it);
            reportOutcome(job, notRun(ErrorCode::Busy, reason, MinRetryAfter));
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
            reportOutcome(it, notRun(ErrorCode::Busy, reason, MinRetryAfter));
        }
    }
}

// Returns how many connections may be open at `now`.
uint32_t MemberDispatcher::State::connectionCap(Instant now) const
{
    const uint32_t cap =
        std::max(limits.connections, ReservedConnections + 1) - ReservedConnections;
    return now < reducedCapUntil ? std::min(reducedCap, cap) : cap;
}

MemberDispatcher::MemberDispatcher(asio::io_context &ioContext, DispatcherEnvironment environment,
                                   MemberEntry entry, DispatcherLimits limits)
    : m_state(std::make_unique<State>(ioContext, std::move(environment), std::move(entry), limits))
{}

MemberDispatcher::~MemberDispatcher() = default;

void MemberDispatcher::update(const MemberEntry &entry, const DispatcherLimits &limits)
{
    const bool isOtherProcess =
        entry.address != m_state->entry.address || entry.startedAtMs != m_state->entry.startedAtMs;
    m_state->limits = limits;
    m_state->entry = entry;
    if (isOtherProcess) {
        m_state->reads = {};
        m_state->allowance = {};
        m_state->primaryStatements = {};
        close("the member was restarted or has a new address");
    }
    m_state->startQueued();
}

void MemberDispatcher::execute(ForwardedStatement statement, OutcomeHandler done)
{
    m_state->self = weak_from_this();
    if (statement.stalenessBound) {
        m_state->positionsNeededAt = steadyNow();
        const auto position = m_state->environment.positionCovering(
            statement.group, bootNow() - *statement.stalenessBound);
        if (!position) {
            done(notRun(ErrorCode::Lagging,
                        "no known position of the primary satisfies the staleness bound"));
            return;
        }
        statement.requiredPosition =
            std::max(*position, statement.requiredPosition.value_or(LogPosition{}));
    }
    auto job = std::make_shared<Job>();
    job->number = m_state->nextNumber++;
    job->arrivedAt = steadyNow();
    job->deadline = job->arrivedAt + statement.timeout;
    job->statement = std::move(statement);
    job->done = std::move(done);
    m_state->enqueueJob(job);
}

void MemberDispatcher::endTransaction(const SessionId &session)
{
    const auto it = m_state->pinned.find(session);
    if (it == m_state->pinned.end()) {
        return;
    }
    const PinnedTransaction transaction = it->second;
    m_state->pinned.erase(it);
    m_state->rollBack(transaction.link);
}

void MemberDispatcher::endTransactionsOfOrigin(uint64_t origin)
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

bool MemberDispatcher::usesPrimaryBeforeEpoch(uint64_t epoch) const
{
    const auto uses = [epoch](uint64_t own) { return own != 0 && own < epoch; };
    return std::any_of(m_state->active.begin(), m_state->active.end(),
                       [&](const JobPointer &it) { return uses(it->statement.epoch); }) ||
           std::any_of(m_state->pinned.begin(), m_state->pinned.end(),
                       [&](const auto &it) { return uses(it.second.epoch); });
}

void MemberDispatcher::abortPrimaryUseBeforeEpoch(uint64_t epoch)
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

void MemberDispatcher::setPreferredDispatcher(bool isPreferred)
{
    m_state->isPreferredDispatcher = isPreferred;
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

void MemberDispatcher::retire(const std::string &reason)
{
    m_state->isRetired = true;
    m_state->unreachableReason = reason;
    m_state->rejectQueued(reason);
    const auto continuing = std::exchange(m_state->continuing, {});
    for (const JobPointer &job : continuing) {
        m_state->reportOutcome(job, notRun(ErrorCode::Aborted, reason));
    }
    close(reason);
}

void MemberDispatcher::tick()
{
    const Instant now = steadyNow();
    m_state->expireWaiting(now);
    m_state->checkLiveness(now);
    m_state->observeHangs(now);
    m_state->enforceConfiguration();
    m_state->enforceEvacuation();
    m_state->enforceColdPhase();
    std::vector<SessionId> expired;
    for (const auto &[session, transaction] : m_state->pinned) {
        if (!transaction.isRunning &&
            now - transaction.idleSince > m_state->limits.transactionIdle) {
            expired.push_back(session);
        }
    }
    for (const SessionId &it : expired) {
        logEvent("transaction.idle", {{"member", m_state->entry.id}, {"session", it.session}});
        endTransaction(it);
    }
    while (!m_state->isPreferredDispatcher && !m_state->idle.empty() &&
           now - m_state->idle.front().since > NonPreferredIdleTimeout) {
        m_state->evictIdle();
    }
    m_state->resumeStalled();
}

bool MemberDispatcher::needsPrimaryPositions() const
{
    return steadyNow() - m_state->positionsNeededAt < PositionDemandPeriod;
}

bool MemberDispatcher::isIdle() const
{
    return m_state->active.empty() && m_state->waiting.empty() && m_state->pinned.empty() &&
           m_state->stalled.empty() && m_state->continuing.empty();
}

} // namespace gentianplank
