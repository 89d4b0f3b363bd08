// The fair queue of one target. Chooses which organisation's statement gets the next free slot.
//
// Implements start-time fair queueing. Each organisation has a tag in virtual time that advances by
// the cost of its statements divided by its weight; the lowest tag is served first. The cost is the
// time for which a statement holds its slot: estimated at the start, corrected at the end. An
// organisation that sends several times its share delays only its own statements.
//
//     FairQueue queue = makeFairQueue(1000);
//     queue.slots = 2;
//     auto evicted = enqueue(queue, {7, "dredge-co", 1, 1, deadline}, now);
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

// Statements of at least this cost are bulk. If there are several slots, bulk leaves one of them to
// small statements.
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
    // Within an organisation, lower values are served first.
    uint32_t priority = 0;
};

enum class QueueFault {
    // The organisation's lane or the whole queue is full.
    Full,
    // The estimated wait exceeds the statement's deadline.
    TooLate,
};

struct QueueRefusal
{
    QueueFault fault = QueueFault::Full;
    // When there is likely to be room.
    Duration retryAfter{0};
};

// The waiting statements of one organisation and its tag in virtual time.
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
    double chargedMs = 0;
    Instant startedAt{};
};

// A plain value. All functions are deterministic.
struct FairQueue
{
    uint32_t slots = 1;
    size_t capacity = 0;
    std::map<std::string, FairLane> lanes;
    std::map<uint64_t, RunningStatement> running;
    uint32_t runningBulk = 0;
    size_t waiting = 0;
    double virtualTime = 0;
    // Mean time for which a small and a bulk statement hold a slot, in milliseconds.
    double smallMs = 1;
    double bulkMs = 50;
};

// Returns a queue for at most `capacity` waiting statements, at most half of them of one
// organisation.
FairQueue makeFairQueue(size_t capacity);

// Adds a statement. Returns the number of a waiting statement that was evicted and must be refused:
// the last one of the longest lane, if the queue is full and the new statement's lane is shorter;
// or the last one of the same lane, if the new statement overtakes it and it can no longer meet its
// deadline.
tl::expected<std::optional<uint64_t>, QueueRefusal>
enqueue(FairQueue &queue, const QueuedStatement &statement, Instant now);

// Starts the next statement if a slot is free, and returns its number.
std::optional<uint64_t> next(FairQueue &queue, Instant now);

// Ends a running statement and updates the cost estimates with the measured time.
void finish(FairQueue &queue, uint64_t number, Instant now);

// Removes a waiting statement. Returns false if it is not waiting.
bool remove(FairQueue &queue, const std::string &organisation, uint64_t number);

// Removes the waiting statements whose deadline has passed, and returns their numbers.
std::vector<uint64_t> expire(FairQueue &queue, Instant now);

// Estimates how long a new statement of the organisation would wait. Statements of a later priority
// in its lane do not count.
Duration expectedWait(const FairQueue &queue, const std::string &organisation, uint32_t weight,
                      uint32_t priority = UINT32_MAX);

} // namespace gentianplank
