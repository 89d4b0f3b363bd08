#include "gentianplank/organisation/fair_queue.h"

#include <algorithm>

namespace gentianplank {

namespace {

constexpr double MicrosecondsPerMillisecond = 1000;
// The weight of the newest sample in the mean costs.
constexpr double LearningRate = 0.1;
// How many small statements an organisation that used less than its share may go ahead.
constexpr double IdleCredit = 4;
// One organisation's part of the places in the queue.
constexpr size_t LaneDivisor = 2;
constexpr Duration ShortestHint = std::chrono::milliseconds(10);
constexpr Duration LongestHint = std::chrono::seconds(2);

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

Duration hintFor(Duration wait)
{
    return std::clamp(wait, ShortestHint, LongestHint);
}

std::map<std::string, FairLane>::iterator longestLane(FairQueue &queue)
{
    return std::max_element(
        queue.lanes.begin(), queue.lanes.end(),
        [](const auto &a, const auto &b) { return lengthOf(a.second) < lengthOf(b.second); });
}

bool goesBefore(const QueuedStatement &a, const QueuedStatement &b)
{
    return a.priority < b.priority;
}

// How many of a lane's part are not of a later priority.
double countUpTo(const std::deque<QueuedStatement> &part, uint32_t priority)
{
    const auto end = std::upper_bound(
        part.begin(), part.end(), priority,
        [](uint32_t figure, const QueuedStatement &it) { return figure < it.priority; });
    return static_cast<double>(end - part.begin());
}

uint64_t evictLast(FairQueue &queue, FairLane &lane)
{
    auto &part = lane.bulk.empty() ? lane.small : lane.bulk;
    const uint64_t number = part.back().number;
    part.pop_back();
    --queue.waiting;
    return number;
}

// A lane that nobody uses and whose tag is past says nothing about the future.
void dropIdleLanes(FairQueue &queue)
{
    std::erase_if(queue.lanes, [&](const auto &it) {
        return lengthOf(it.second) == 0 && it.second.running == 0 &&
               it.second.tag <= queue.virtualTime - IdleCredit * queue.smallMs;
    });
}

bool removeFrom(std::deque<QueuedStatement> &part, uint64_t number)
{
    return std::erase_if(part, [&](const auto &it) { return it.number == number; }) > 0;
}

// The lane to serve next: the lowest tag, small statements first at equal tags.
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

FairQueue makeFairQueue(size_t longest)
{
    FairQueue queue;
    queue.longest = longest;
    return queue;
}

Duration expectedWait(const FairQueue &queue, const std::string &organisation, uint32_t weight,
                      uint32_t priority)
{
    double weights = weight;
    for (const auto &[name, lane] : queue.lanes) {
        if (name != organisation && lengthOf(lane) + lane.running > 0) {
            weights += lane.weight;
        }
    }
    const auto it = queue.lanes.find(organisation);
    if (it == queue.lanes.end()) {
        return Duration::zero();
    }
    const FairLane &lane = it->second;
    const double work = queue.smallMs * countUpTo(lane.small, priority) +
                        queue.bulkMs * countUpTo(lane.bulk, priority);
    const double share = std::max<double>(1, queue.slots) * weight / weights;
    return fromMs(work / share);
}

tl::expected<std::optional<uint64_t>, QueueRefusal>
enqueue(FairQueue &queue, const QueuedStatement &statement, Instant now)
{
    const auto known = queue.lanes.find(statement.organisation);
    const size_t length = known == queue.lanes.end() ? 0 : lengthOf(known->second);
    const Duration wait =
        expectedWait(queue, statement.organisation, statement.weight, statement.priority);
    if (queue.longest == 0 || length >= std::max<size_t>(1, queue.longest / LaneDivisor)) {
        return tl::unexpected(QueueRefusal{QueueFault::Full, hintFor(wait)});
    }
    if (now + wait > statement.deadline) {
        return tl::unexpected(QueueRefusal{QueueFault::TooLate, hintFor(wait)});
    }
    std::optional<uint64_t> evicted;
    if (queue.waiting >= queue.longest) {
        FairLane &longest = longestLane(queue)->second;
        if (lengthOf(longest) <= length + 1) {
            return tl::unexpected(QueueRefusal{QueueFault::Full, hintFor(wait)});
        }
        evicted = evictLast(queue, longest);
    }
    dropIdleLanes(queue);
    FairLane &lane = queue.lanes[statement.organisation];
    lane.weight = std::max<uint32_t>(1, statement.weight);
    if (lengthOf(lane) == 0) {
        const double credit = IdleCredit * queue.smallMs / lane.weight;
        lane.tag = std::max(lane.tag, queue.virtualTime - credit);
    }
    auto &part = isBulk(statement) ? lane.bulk : lane.small;
    const auto place = std::upper_bound(part.begin(), part.end(), statement, goesBefore);
    const bool overtakes = place != part.end();
    part.insert(place, statement);
    ++queue.waiting;
    if (overtakes && !evicted) {
        const Duration all = expectedWait(queue, statement.organisation, lane.weight);
        if (now + all > part.back().deadline) {
            evicted = part.back().number;
            part.pop_back();
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
    auto &part = lane->small.empty() ? lane->bulk : lane->small;
    const QueuedStatement statement = std::move(part.front());
    part.pop_front();
    --queue.waiting;
    RunningStatement running{organisation, isBulk(statement), 0, now};
    running.charged = running.isBulk ? queue.bulkMs : queue.smallMs;
    queue.virtualTime = std::max(queue.virtualTime, lane->tag);
    lane->tag += running.charged / lane->weight;
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
    lane.tag += (ms - running.charged) / lane.weight;
    --lane.running;
    queue.runningBulk -= running.isBulk ? 1 : 0;
    double &mean = running.isBulk ? queue.bulkMs : queue.smallMs;
    mean += LearningRate * (ms - mean);
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
        for (auto *part : {&lane.small, &lane.bulk}) {
            std::erase_if(*part, [&](const QueuedStatement &it) {
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
