#include "gentianplank/organisation/rate_limiter.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>

namespace gentianplank {

namespace {

// A statement that waits for a token.
struct Waiter
{
    std::condition_variable served;
    Instant arrivedAt{};
    Instant deadline{};
    bool admitted = false;
    bool refused = false;
};

// An organisation's slice and those who wait for it, in the order of arrival.
struct Share
{
    std::mutex mutex;
    QuotaClient borrower;
    std::deque<Waiter *> waiters;
};

void serve(Share &share, Instant now)
{
    while (!share.waiters.empty()) {
        Waiter &first = *share.waiters.front();
        first.admitted = tryTakeToken(share.borrower, now);
        first.refused = !first.admitted && (mustGiveUp(share.borrower, first.arrivedAt, now) ||
                                            answerExpectedBy(share.borrower, now) > first.deadline);
        if (!first.admitted && !first.refused) {
            break;
        }
        share.waiters.pop_front();
        first.served.notify_one();
    }
    share.borrower.waiting = static_cast<double>(share.waiters.size());
}

Refusal noToken(const QuotaClient &borrower, Instant now)
{
    if (!isSettled(borrower, now)) {
        return refuse(Reason::RateLimited, ExecutionOutcome::NotRun,
                      "the VM that shares out the organisation's rate does not answer",
                      retryHint(borrower));
    }
    return refuse(Reason::RateLimited, ExecutionOutcome::NotRun,
                  "the organisation is above its rate and burst", retryHint(borrower));
}

} // namespace

struct RateLimiter::State
{
    std::shared_ptr<Share> shareOf(std::string_view organisation, bool create)
    {
        const std::lock_guard lock(mutex);
        const auto it = shares.find(organisation);
        if (it != shares.end()) {
            return it->second;
        }
        if (!create) {
            return nullptr;
        }
        auto share = std::make_shared<Share>();
        share->borrower = makeQuotaClient(self, steadyNow());
        shares.emplace(std::string(organisation), share);
        return share;
    }

    std::vector<std::pair<std::string, std::shared_ptr<Share>>> all()
    {
        const std::lock_guard lock(mutex);
        return {shares.begin(), shares.end()};
    }

    std::mutex mutex;
    VmIncarnation self;
    std::map<std::string, std::shared_ptr<Share>, std::less<>> shares;
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
    for (auto &[organisation, share] : m_state->shares) {
        const std::lock_guard guard(share->mutex);
        share->borrower = makeQuotaClient(self, now);
        share->borrower.waiting = static_cast<double>(share->waiters.size());
    }
}

void RateLimiter::setWakeUp(std::function<void()> wakeUp)
{
    m_state->wakeUp = std::move(wakeUp);
}

std::optional<Refusal> RateLimiter::enter(std::string_view organisation, Instant deadline)
{
    const auto share = m_state->shareOf(organisation, true);
    std::unique_lock lock(share->mutex);
    const Instant now = steadyNow();
    noteArrival(share->borrower, now);
    if (share->waiters.empty() && tryTakeToken(share->borrower, now)) {
        return std::nullopt;
    }
    const bool isFull = share->waiters.size() >= MostWaiters;
    const Duration patience = isFull ? Duration::zero() : longestWait(share->borrower, now);
    if (patience == Duration::zero() || answerExpectedBy(share->borrower, now) > deadline) {
        return noToken(share->borrower, now);
    }
    Waiter self;
    self.arrivedAt = now;
    self.deadline = deadline;
    share->waiters.push_back(&self);
    share->borrower.waiting = static_cast<double>(share->waiters.size());
    if (m_state->wakeUp) {
        m_state->wakeUp();
    }
    self.served.wait_until(lock, deadline, [&] { return self.admitted || self.refused; });
    if (self.admitted) {
        return std::nullopt;
    }
    if (!self.refused) {
        std::erase(share->waiters, &self);
        share->borrower.waiting = static_cast<double>(share->waiters.size());
    }
    return noToken(share->borrower, steadyNow());
}

std::vector<DueSliceRequest> RateLimiter::dueRequests(Instant now)
{
    std::vector<DueSliceRequest> due;
    for (const auto &[organisation, share] : m_state->all()) {
        const std::lock_guard lock(share->mutex);
        serve(*share, now);
        const bool toBackup = shouldRequestFromBackup(share->borrower);
        if (auto request = nextRequest(share->borrower, now)) {
            due.push_back({organisation, std::move(*request), toBackup});
        }
    }
    const std::lock_guard lock(m_state->mutex);
    std::erase_if(m_state->shares, [&](const auto &it) {
        const std::lock_guard guard(it.second->mutex);
        return it.second.use_count() == 1 && it.second->waiters.empty() &&
               isIdle(it.second->borrower, now);
    });
    return due;
}

std::vector<DueSliceRequest> RateLimiter::release(Instant now)
{
    std::vector<DueSliceRequest> due;
    for (const auto &[organisation, share] : m_state->all()) {
        const std::lock_guard lock(share->mutex);
        due.push_back({organisation, releaseRequest(share->borrower, now), false});
    }
    return due;
}

void RateLimiter::onReply(std::string_view organisation, const SliceReply &reply, Instant now)
{
    if (const auto share = m_state->shareOf(organisation, false)) {
        const std::lock_guard lock(share->mutex);
        gentianplank::onReply(share->borrower, reply, now);
        serve(*share, now);
    }
}

void RateLimiter::onRequestFailed(std::string_view organisation, uint64_t sequence)
{
    if (const auto share = m_state->shareOf(organisation, false)) {
        const std::lock_guard lock(share->mutex);
        if (share->borrower.asking && share->borrower.sequence == sequence) {
            gentianplank::onRequestFailed(share->borrower);
        }
    }
}

} // namespace gentianplank
