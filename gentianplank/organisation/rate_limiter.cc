#include "gentianplank/organisation/rate_limiter.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace gentianplank {

namespace {

// A statement that waits for a token. Lives on the stack of the thread that waits.
struct Waiter
{
    std::condition_variable served;
    Instant arrivedAt{};
    Instant deadline{};
    bool admitted = false;
    bool refused = false;
};

// An organisation's quota client and the statements that wait for a token, by arrival.
struct ClientQueue
{
    std::mutex mutex;
    QuotaClient client;
    std::deque<Waiter *> waiters;
};

void serveWaiting(ClientQueue &queue, Instant now)
{
    while (!queue.waiters.empty()) {
        Waiter &first = *queue.waiters.front();
        first.admitted = tryTakeToken(queue.client, now);
        first.refused = !first.admitted && (shouldReject(queue.client, first.arrivedAt, now) ||
                                            replyExpectedBy(queue.client, now) > first.deadline);
        if (!first.admitted && !first.refused) {
            break;
        }
        queue.waiters.pop_front();
        first.served.notify_one();
    }
    queue.client.waiting = static_cast<double>(queue.waiters.size());
}

Refusal rateLimited(const QuotaClient &client, Instant now)
{
    if (!hasRecentAllocation(client, now)) {
        return refuse(Reason::RateLimited, ExecutionOutcome::NotRun,
                      "the primary owner of the organisation's rate does not reply",
                      retryHint(client));
    }
    return refuse(Reason::RateLimited, ExecutionOutcome::NotRun,
                  "the organisation exceeds its rate and burst", retryHint(client));
}

} // namespace

struct RateLimiter::State
{
    std::shared_ptr<ClientQueue> queueOf(std::string_view organisation, bool create)
    {
        const std::lock_guard lock(mutex);
        const auto it = queues.find(organisation);
        if (it != queues.end()) {
            return it->second;
        }
        if (!create) {
            return nullptr;
        }
        auto queue = std::make_shared<ClientQueue>();
        queue->client = makeQuotaClient(self, steadyNow());
        queues.emplace(std::string(organisation), queue);
        return queue;
    }

    std::vector<std::pair<std::string, std::shared_ptr<ClientQueue>>> all()
    {
        const std::lock_guard lock(mutex);
        return {queues.begin(), queues.end()};
    }

    std::mutex mutex;
    VmIncarnation self;
    std::map<std::string, std::shared_ptr<ClientQueue>, std::less<>> queues;
    std::function<void()> wakeUp;
};

RateLimiter::RateLimiter()
    : m_state(std::make_unique<State>())
{}

RateLimiter::~RateLimiter() = default;

void RateLimiter::setIncarnation(const VmIncarnation &self, Instant now)
{
    const std::lock_guard lock(m_state->mutex);
    if (m_state->self == self) {
        return;
    }
    m_state->self = self;
    for (auto &[organisation, queue] : m_state->queues) {
        const std::lock_guard guard(queue->mutex);
        queue->client = makeQuotaClient(self, now);
        queue->client.waiting = static_cast<double>(queue->waiters.size());
    }
}

void RateLimiter::setWakeUp(std::function<void()> wakeUp)
{
    m_state->wakeUp = std::move(wakeUp);
}

std::optional<Refusal> RateLimiter::acquire(std::string_view organisation, Instant deadline)
{
    const auto queue = m_state->queueOf(organisation, true);
    std::unique_lock lock(queue->mutex);
    const Instant now = steadyNow();
    recordArrival(queue->client, now);
    if (queue->waiters.empty() && tryTakeToken(queue->client, now)) {
        return std::nullopt;
    }
    const bool isFull = queue->waiters.size() >= MaxWaitingStatements;
    const Duration maxWait = isFull ? Duration::zero() : maxWaitTime(queue->client, now);
    if (maxWait == Duration::zero() || replyExpectedBy(queue->client, now) > deadline) {
        return rateLimited(queue->client, now);
    }
    Waiter self;
    self.arrivedAt = now;
    self.deadline = deadline;
    queue->waiters.push_back(&self);
    queue->client.waiting = static_cast<double>(queue->waiters.size());
    if (m_state->wakeUp) {
        m_state->wakeUp();
    }
    self.served.wait_until(lock, deadline, [&] { return self.admitted || self.refused; });
    if (self.admitted) {
        return std::nullopt;
    }
    if (!self.refused) {
        std::erase(queue->waiters, &self);
        queue->client.waiting = static_cast<double>(queue->waiters.size());
    }
    return rateLimited(queue->client, steadyNow());
}

std::vector<DueSliceRequest> RateLimiter::dueRequests(Instant now)
{
    std::vector<DueSliceRequest> due;
    for (const auto &[organisation, queue] : m_state->all()) {
        const std::lock_guard lock(queue->mutex);
        serveWaiting(*queue, now);
        const bool toBackup = shouldRequestFromBackup(queue->client);
        if (auto request = nextRequest(queue->client, now)) {
            due.push_back({organisation, std::move(*request), toBackup});
        }
    }
    const std::lock_guard lock(m_state->mutex);
    std::erase_if(m_state->queues, [&](const auto &it) {
        const std::lock_guard guard(it.second->mutex);
        return it.second.use_count() == 1 && it.second->waiters.empty() &&
               isIdle(it.second->client, now);
    });
    return due;
}

std::vector<DueSliceRequest> RateLimiter::release(Instant now)
{
    std::vector<DueSliceRequest> due;
    for (const auto &[organisation, queue] : m_state->all()) {
        const std::lock_guard lock(queue->mutex);
        due.push_back({organisation, releaseRequest(queue->client, now), false});
    }
    return due;
}

void RateLimiter::onReply(std::string_view organisation, const SliceReply &reply, Instant now)
{
    if (const auto queue = m_state->queueOf(organisation, false)) {
        const std::lock_guard lock(queue->mutex);
        gentianplank::onReply(queue->client, reply, now);
        serveWaiting(*queue, now);
    }
}

void RateLimiter::onRequestFailed(std::string_view organisation, uint64_t sequence)
{
    if (const auto queue = m_state->queueOf(organisation, false)) {
        const std::lock_guard lock(queue->mutex);
        if (queue->client.requestPending && queue->client.sequence == sequence) {
            gentianplank::onRequestFailed(queue->client);
        }
    }
}

} // namespace gentianplank
