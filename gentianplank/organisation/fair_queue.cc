#include "gentianplank/organisation/fair_queue.h"

#include <algorithm>

namespace gentianplank {

namespace {

constexpr double MicrosecondsPerMillisecond = 1000;
// Weight of the newest sample in the moving averages of the costs.
constexpr double MeanCostGain = 0.1;
// Credit, in small statements, of an organisation that used less than its share.
constexpr double IdleCredit = 4;
// One organisation may take at most 1/LaneDivisor of the queue's capacity.
constexpr size_t LaneDivisor = 2;
constexpr Duration MinRetryHint = std::chrono::milliseconds(10);
constexpr Duration MaxRetryHint = std::chrono::seconds(2);

bool isBulk(const QueuedStatement &statement)
{
    return statement.cost >= BulkCost;
}

size_t lengthOf(const FairLane &lane)
{
    return lane.small.size() + lane.bulk.size();
}

bool bulkMayStart(const FairQueue &queue)
{
    return queue.slots <= 1 || queue.runningBulk + 1 < queue.slots;
}

Duration fromMs(double ms)
{
    return Duration(static_cast<Duration::rep>(ms * MicrosecondsPerMillisecond));
}

Duration retryHintFor(Duration wait)
{
    return std::clamp(wait, MinRetryHint, MaxRetryHint);
}

std::map<std::string, FairLane>::iterator longestLaneOf(FairQueue &queue)
{
    return std::max_element(
        queue.lanes.begin(), queue.lanes.end(),
        [](const auto &a, const auto &b) { return lengthOf(a.second) < lengthOf(b.second); });
}

bool hasHigherPriority(const QueuedStatement &a, const QueuedStatement &b)
{
    return a.priority < b.priority;
}

// Number of statements in `pending`, sorted by priority, that have this or an earlier priority.
double countNotBelowPriority(const std::deque<QueuedStatement> &pending, uint32_t priority)
{
    const auto end = std::upper_bound(
        pending.begin(), pending.end(), priority,
        [](uint32_t value, const QueuedStatement &it) { return value < it.priority; });
    return static_cast<double>(end - pending.begin());
}

uint64_t evictLast(FairQueue &queue, FairLane &lane)
{
    auto &pending = lane.bulk.empty() ? lane.small : lane.bulk;
    const uint64_t number = pending.back().number;
    pending.pop_back();
    --queue.waiting;
    return number;
}

// Drops lanes without statements whose tag is so far in the past that it no longer matters.
void dropIdleLanes(FairQueue &queue)
{
    std::erase_if(queue.lanes, [&](const auto &it) {
        return lengthOf(it.second) == 0 && it.second.running == 0 &&
               it.second.tag <= queue.virtualTime - IdleCredit * queue.smallMs;
    });
}

bool removeFrom(std::deque<QueuedStatement> &pending, uint64_t number)
{
    return std::erase_if(pending, [&](const auto &it) { return it.number == number; }) > 0;
}

// Returns the lane to serve next: the lowest tag, at equal tags one with small statements first.
// Null if none may start.
FairLane *chooseLane(FairQueue &queue, std::string *organisation)
{
    FairLane *best = nullptr;
    bool bestIsSmall = false;
    const bool bulkAllowed = bulkMayStart(queue);
    for (auto &[name, lane] : queue.lanes) {
        const bool hasSmall = !lane.small.empty();
        if (!hasSmall && (lane.bulk.empty() || !bulkAllowed)) {
            continue;
        }
        const bool isBetter = best == nullptr || lane.tag < best->tag ||
                              (lane.tag == best->tag && hasSmall && !bestIsSmall);
        if (isBetter) {
            best = &lane;
            bestIsSmall = hasSmall;
            *organisation = name;
        }
    }
    return best;
}

} // namespace

FairQueue makeFairQueue(size_t capacity)
{
    FairQueue queue;
    queue.capacity = capacity;
    return queue;
}

Duration expectedWait(const FairQueue &queue, const std::string &organisation, uint32_t weight,
                      uint32_t priority)
{
    double totalWeight = weight;
    for (const auto &[name, lane] : queue.lanes) {
        if (name != organisation && lengthOf(lane) + lane.running > 0) {
            totalWeight += lane.weight;
        }
    }
    const auto it = queue.lanes.find(organisation);
    if (it == queue.lanes.end()) {
        return Duration::zero();
    }
    const FairLane &lane = it->second;
    const double work = queue.smallMs * countNotBelowPriority(lane.small, priority) +
                        queue.bulkMs * countNotBelowPriority(lane.bulk, priority);
    const double share = std::max<double>(1, queue.slots) * weight / totalWeight;
    return fromMs(work / share);
}

tl::expected<std::optional<uint64_t>, QueueRefusal>
enqueue(FairQueue &queue, const QueuedStatement &statement, Instant now)
{
    const auto known = queue.lanes.find(statement.organisation);
    const size_t length = known == queue.lanes.end() ? 0 : lengthOf(known->second);
    const Duration wait =
        expectedWait(queue, statement.organisation, statement.weight, statement.priority);
    if (queue.capacity == 0 || length >= std::max<size_t>(1, queue.capacity / LaneDivisor)) {
        return tl::unexpected(QueueRefusal{QueueFault::Full, retryHintFor(wait)});
    }
    if (now + wait > statement.deadline) {
        return tl::unexpected(QueueRefusal{QueueFault::TooLate, retryHintFor(wait)});
    }
    std::optional<uint64_t> evicted;
    if (queue.waiting >= queue.capacity) {
        FairLane &victim = longestLaneOf(queue)->second;
        if (lengthOf(victim) <= length + 1) {
            return tl::unexpected(QueueRefusal{QueueFault::Full, retryHintFor(wait)});
        }
        evicted = evictLast(queue, victim);
    }
    dropIdleLanes(queue);
    FairLane &lane = queue.lanes[statement.organisation];
    lane.weight = std::max<uint32_t>(1, statement.weight);
    if (lengthOf(lane) == 0) {
        const double credit = IdleCredit * queue.smallMs / lane.weight;
        lane.tag = std::max(lane.tag, queue.virtualTime - credit);
    }
    auto &pending = isBulk(statement) ? lane.bulk : lane.small;
    const auto position =
        std::upper_bound(pending.begin(), pending.end(), statement, hasHigherPriority);
    const bool overtakes = position != pending.end();
    pending.insert(position, statement);
    ++queue.waiting;
    if (overtakes && !evicted) {
        const Duration all = expectedWait(queue, statement.organisation, lane.weight);
        if (now + all > pending.back().deadline) {
            evicted = pending.back().number;
            pending.pop_back();
            --queue.waiting;
        }
    }
    return evicted;
}

std::optional<uint64_t> next(FairQueue &queue, Instant now)
{
    if (queue.running.size() >= queue.slots) {
        return std::nullopt;
    }
    std::string organisation;
    FairLane *lane = chooseLane(queue, &organisation);
    if (lane == nullptr) {
        return std::nullopt;
    }
    auto &pending = lane->small.empty() ? lane->bulk : lane->small;
    const QueuedStatement statement = std::move(pending.front());
    pending.pop_front();
    --queue.waiting;
    RunningStatement running{organisation, isBulk(statement), 0, now};
    running.chargedMs = running.isBulk ? queue.bulkMs : queue.smallMs;
    queue.virtualTime = std::max(queue.virtualTime, lane->tag);
    lane->tag += running.chargedMs / lane->weight;
    ++lane->running;
    queue.runningBulk += running.isBulk ? 1 : 0;
    queue.running.emplace(statement.number, std::move(running));
    return statement.number;
}

void finish(FairQueue &queue, uint64_t number, Instant now)
{
    const auto it = queue.running.find(number);
    if (it == queue.running.end()) {
        return;
    }
    const RunningStatement &running = it->second;
    const double ms =
        static_cast<double>((now - running.startedAt).count()) / MicrosecondsPerMillisecond;
    FairLane &lane = queue.lanes[running.organisation];
    lane.tag += (ms - running.chargedMs) / lane.weight;
    --lane.running;
    queue.runningBulk -= running.isBulk ? 1 : 0;
    double &mean = running.isBulk ? queue.bulkMs : queue.smallMs;
    mean += MeanCostGain * (ms - mean);
    queue.running.erase(it);
}

bool remove(FairQueue &queue, const std::string &organisation, uint64_t number)
{
    const auto it = queue.lanes.find(organisation);
    if (it == queue.lanes.end() ||
        !(removeFrom(it->second.small, number) || removeFrom(it->second.bulk, number))) {
        return false;
    }
    --queue.waiting;
    return true;
}

std::vector<uint64_t> expire(FairQueue &queue, Instant now)
{
    std::vector<uint64_t> expired;
    for (auto &[name, lane] : queue.lanes) {
        for (auto *pending : {&lane.small, &lane.bulk}) {
            std::erase_if(*pending, [&](const QueuedStatement &it) {
                const bool isOver = now >= it.deadline;
                if (isOver) {
                    expired.push_back(it.number);
                }
                return isOver;
            });
        }
    }
    queue.waiting -= expired.size();
    return expired;
}

} // namespace gentianplank
