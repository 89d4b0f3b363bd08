// What callers and members saw in a soak run, and the check of the promises against it.
//
//     for (const Violation &it : check(history)) { report(it.what); }
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/standin/line_protocol_group.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gentianplank {

// How an operation ended for its caller.
enum class OperationEnd {
    Done,
    // An error that promises that nothing of the operation is kept.
    Refused,
    // Any other error, no answer in time, or a lost connection.
    Unknown,
    // The connection ended without an answer while an operation was outstanding.
    Cut,
};

// One operation of a caller: a write, a read, or a transaction that writes and reads one item.
struct CallerOperation
{
    // Ids of its statements, in order.
    std::vector<std::string> statements;
    // The organisation that holds the caller's key throughout the run; empty if its key moves.
    std::string organisation;
    // The caller's own item; no other caller uses it.
    std::string item;
    // What a write stores, unique in the run; empty for a read.
    std::string written;
    // What a read returned; unset for a write or without an answer.
    std::optional<std::string> read;
    size_t vm = 0;
    Instant sentAt{};
    Instant endedAt{};
    OperationEnd end = OperationEnd::Unknown;
    bool isTransaction = false;
    // The caller's key had been withdrawn for longer than the limit when the operation was sent.
    bool isAfterWithdrawal = false;
    // The VM was asked to stop, and no other fault was near.
    bool isDuringPlannedStop = false;
};

// A time in which one organisation held the key that moves.
struct KeyPeriod
{
    // Empty while the key is withdrawn.
    std::string organisation;
    // Before the configuration was published, and after the next one was.
    Instant from{};
    Instant until = Instant::max();
};

struct History
{
    // In the order in which they ended, for each caller.
    std::vector<CallerOperation> operations;
    std::vector<ExecutedStatement> runs;
    std::vector<CommittedWrite> commits;
    // Of the callers without an organisation of their own, in order.
    std::vector<KeyPeriod> movingKey;
    // How long a statement may still run for an organisation after it lost its key.
    Duration revocationLimit{0};
};

struct Violation
{
    // The promise, such as "write runs at most once".
    std::string promise;
    std::string what;
};

// Checks all promises. Thread-safe.
std::vector<Violation> check(const History &history);

} // namespace gentianplank
