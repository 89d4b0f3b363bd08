#include "gentianplank/organisation/admission.h"

#include "gentianplank/organisation/fair_queue.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <utility>

namespace gentianplank {

namespace {

constexpr Duration RetryHint = std::chrono::milliseconds(100);

enum class WaiterState {
    Waiting,
    Admitted,
    Evicted,
};

struct Waiter
{
    std::condition_variable changed;
    WaiterState state = WaiterState::Waiting;
};

// One target's queue and the threads that wait in it.
struct TargetQueue
{
    std::mutex mutex;
    FairQueue queue;
    std::map<uint64_t, Waiter *> waiters;
    uint64_t nextNumber = 0;
};

void resolveWaiter(TargetQueue &target, uint64_t number, WaiterState state)
{
    const auto it = target.waiters.find(number);
    if (it != target.waiters.end()) {
        it->second->state = state;
        it->second->changed.notify_one();
        target.waiters.erase(it);
    }
}

// Starts all statements that may start now, and wakes only their threads.
void startNext(TargetQueue &target)
{
    while (const auto number = next(target.queue, steadyNow())) {
        resolveWaiter(target, *number, WaiterState::Admitted);
    }
}

Refusal refusalOf(const QueueRefusal &refusal)
{
    return refusal.fault == QueueFault::Full
               ? refuse(Reason::Overloaded, ExecutionOutcome::NotRun, "the target's queue is full",
                        refusal.retryAfter)
               : refuse(Reason::Overloaded, ExecutionOutcome::NotRun,
                        "the expected wait for a slot of the target exceeds the deadline",
                        refusal.retryAfter);
}

} // namespace

AdmissionTicket::AdmissionTicket(std::function<void()> release)
    : m_release(std::move(release))
{}

AdmissionTicket::AdmissionTicket(AdmissionTicket &&other) noexcept
    : m_release(std::exchange(other.m_release, nullptr))
{}

AdmissionTicket &AdmissionTicket::operator=(AdmissionTicket &&other) noexcept
{
    std::swap(m_release, other.m_release);
    return *this;
}

AdmissionTicket::~AdmissionTicket()
{
    if (m_release) {
        m_release();
    }
}

struct Admission::State
{
    std::shared_ptr<TargetQueue> queueOf(const std::string &target)
    {
        const std::lock_guard lock(mutex);
        std::shared_ptr<TargetQueue> &queue = queues[target];
        if (queue == nullptr) {
            queue = std::make_shared<TargetQueue>();
            queue->queue = makeFairQueue(longestQueue);
        }
        return queue;
    }

    size_t longestQueue = 0;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<TargetQueue>> queues;
};

Admission::Admission(size_t longestQueue)
    : m_state(std::make_shared<State>())
{
    m_state->longestQueue = longestQueue;
}

Admission::~Admission() = default;

tl::expected<AdmissionTicket, Refusal> Admission::acquireSlot(const AdmissionRequest &request,
                                                              uint32_t slots)
{
    const auto target = m_state->queueOf(request.target);
    std::unique_lock lock(target->mutex);
    target->queue.slots = slots;
    const uint64_t number = target->nextNumber++;
    const auto evicted =
        enqueue(target->queue,
                {number, request.organisation, request.weight, request.cost, request.deadline},
                steadyNow());
    if (!evicted) {
        return tl::unexpected(refusalOf(evicted.error()));
    }
    if (*evicted) {
        resolveWaiter(*target, **evicted, WaiterState::Evicted);
    }
    Waiter self;
    target->waiters.emplace(number, &self);
    startNext(*target);
    self.changed.wait_until(lock, request.deadline,
                            [&] { return self.state != WaiterState::Waiting; });
    if (self.state == WaiterState::Evicted) {
        return tl::unexpected(refusalOf({QueueFault::Full, RetryHint}));
    }
    if (self.state == WaiterState::Waiting) {
        remove(target->queue, request.organisation, number);
        target->waiters.erase(number);
        return tl::unexpected(refuse(Reason::Deadline, ExecutionOutcome::NotRun,
                                     "no slot of the target became free before the deadline",
                                     RetryHint));
    }
    return AdmissionTicket([target, number] {
        const std::lock_guard guard(target->mutex);
        finish(target->queue, number, steadyNow());
        startNext(*target);
    });
}

size_t Admission::waiting(const std::string &target) const
{
    const auto queue = m_state->queueOf(target);
    const std::lock_guard lock(queue->mutex);
    return queue->queue.waiting;
}

} // namespace gentianplank
