// The fair queue of one target: which organisation's statement gets the next free slot.
//
// Start-time fair queueing: each organisation has a tag in virtual time that advances by the cost
// of its statements over its weight; the lowest tag goes first. The cost is the time that the slot
// was held: an estimate when a statement starts, corrected when it ends. An organisation that sends
// several times its share waits in its own lane only.
//
//     FairQueue queue = makeFairQueue(1000);
//     queue.slots = 2;
//     auto place = enqueue(queue, {7, "dredge-co", 1, 1, deadline}, now);
//     while (auto number = next(queue, now)) { run(*number); }
//     finish(queue, 7, now);
#pragma once

#include "gentianplank/base/time.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianplank {

// Statements of at least this cost are bulk: they leave one slot of several to small ones.
inline constexpr double BulkCost = 8;

struct QueuedStatement
{
    // Unique in the queue.
    uint64_t number = 0;
    std::string organisation;
    uint32_t weight = 1;
    // Relative to a small statement.
    double cost = 1;
    Instant deadline{};
    // Within its organisation, a lower figure goes first.
    uint32_t priority = 0;
};

enum class QueueFault {
    // The organisation's lane or the whole queue is full.
    Full,
    // The queue does not get to it before its deadline.
    TooLate,
};

struct QueueRefusal
{
    QueueFault fault = QueueFault::Full;
    // When there is likely to be room.
    Duration retryAfter{0};
};

// The statements of one organisation that wait, and its place in virtual time.
struct FairLane
{
    std::deque<QueuedStatement> small;
    std::deque<QueuedStatement> bulk;
    uint32_t weight = 1;
    double tag = 0;
    uint32_t running = 0;
};

struct RunningStatement
{
    std::string organisation;
    bool isBulk = false;
    double charged = 0;
    Instant startedAt{};
};

// A plain value. All functions are deterministic.
struct FairQueue
{
    uint32_t slots = 1;
    size_t longest = 0;
    std::map<std::string, FairLane> lanes;
    std::map<uint64_t, RunningStatement> running;
    uint32_t runningBulk = 0;
    size_t waiting = 0;
    double virtualTime = 0;
    // The mean time that a small statement and a bulk one hold a slot, in milliseconds.
    double smallMs = 1;
    double bulkMs = 50;
};

// At most `longest` statements wait, and at most half of them of one organisation.
FairQueue makeFairQueue(size_t longest);

// Takes a statement in. Returns the number of one that must be refused in its place: the last of
// the longest lane, when the queue is full and the statement's lane is shorter; or the last of its
// own lane, when the statement goes before it and leaves it too little time.
tl::expected<std::optional<uint64_t>, QueueRefusal>
enqueue(FairQueue &queue, const QueuedStatement &statement, Instant now);

// Starts the next statement if a slot is free and returns its number.
std::optional<uint64_t> next(FairQueue &queue, Instant now);

// Ends a running statement and learns its real cost.
void finish(FairQueue &queue, uint64_t number, Instant now);

// Removes a waiting statement. False when it does not wait.
bool remove(FairQueue &queue, const std::string &organisation, uint64_t number);

// Removes the waiting statements whose deadline has passed and returns their numbers.
std::vector<uint64_t> expire(FairQueue &queue, Instant now);

// Estimates how long a new statement of the organisation would wait. Those of a later priority are
// not waited for.
Duration expectedWait(const FairQueue &queue, const std::string &organisation, uint32_t weight,
                      uint32_t priority = UINT32_MAX);

} // namespace gentianplank
