// In-memory state machine of one member of a database group: a replicated log, the key-value ledger
// derived from it, deduplication by request id, terms and fencing.
//
//     MemberState primary("a"), replica("b");
//     promote(primary, 1);
//     auto committed = commit(primary, 1, "request-1", operations);
//     replicate(primary, replica, primary.log.size());
#pragma once

#include "gentianplank/proto/common.pb.h"
#include "gentianplank/proto/target.pb.h"
#include "gentianplank/session/log_position.h"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// A write to one key: sets its value, or adds an amount to its numeric value.
struct LedgerOperation
{
    std::string key;
    std::string value;
    int64_t amount = 0;
    bool isAddition = false;
};

struct LogEntry
{
    uint64_t term = 0;
    std::string requestId;
    // Marks the request id as aborted; a later commit under that id has no effect.
    bool aborted = false;
    std::vector<LedgerOperation> operations;
    std::vector<common::v1::Row> answer;
    // When the primary appended the entry. Simulated replication lag is measured from this time.
    std::chrono::steady_clock::time_point appendedAt{};
};

// Not thread-safe; the owner synchronises access.
struct MemberState
{
    std::string name;
    target::v1::Role role = target::v1::ROLE_REPLICA;
    // The term that the member last served in as primary or replica.
    uint64_t term = 0;
    // The highest term that the member has seen; work of lower terms is rejected.
    uint64_t fencedTerm = 0;
    // The promoter that holds the grant of fencedTerm; empty if nobody does.
    std::string grantedTo;
    std::vector<LogEntry> log;
    std::map<std::string, std::string, std::less<>> ledger;
    // Log index by request id.
    std::map<std::string, size_t, std::less<>> requests;
};

struct CommitResult
{
    LogPosition position;
    std::vector<common::v1::Row> answer;
    bool replayed = false;
    bool aborted = false;
};

// Returns the term of the last log entry and the log's length. A replica that follows a new primary
// but hasn't received its first entry yet reports the older term, as it may lack acknowledged
// writes.
LogPosition positionOf(const MemberState &member);

// Fences the member at a term: it rejects lower terms from then on, and steps down if it was
// primary of one. Each term is granted to the first promoter that requests it; returns whether
// `promoter` holds the grant. An empty promoter only fences and requests no grant.
bool fence(MemberState &member, uint64_t term, std::string_view promoter = {});

// Makes the member primary of a term. Returns false unless the term is above its own and granted to
// the promoter. Repeating a successful call with the same non-empty promoter returns true and has
// no effect.
bool promote(MemberState &member, uint64_t term, std::string_view promoter = {});

// Returns why the member rejects work of a term, or FAILURE_KIND_UNSPECIFIED if it accepts it.
target::v1::FailureKind refusalOf(const MemberState &member, uint64_t term);

// Appends a transaction and applies it. If the request id is already in the log, returns the
// recorded outcome instead. An empty request id is never deduplicated.
CommitResult commit(MemberState &primary, std::string_view requestId,
                    std::vector<LedgerOperation> operations);

// Returns the recorded outcome of a request id. If there is none, appends an abort marker first, so
// that a commit that arrives later has no effect.
CommitResult resolve(MemberState &primary, std::string_view requestId);

// Copies the first `length` entries of the primary's log to a replica, after truncating the entries
// that diverge from the primary. A smaller `length` doesn't shorten the replica's log. Returns
// false without effect if `primary` isn't a primary or the replica is fenced at a later term.
bool replicate(const MemberState &primary, MemberState &replica, size_t length);

// Applies operations to a ledger in order. Returns one row of key and new value per operation.
std::vector<common::v1::Row>
applyOperations(std::map<std::string, std::string, std::less<>> &ledger,
                const std::vector<LedgerOperation> &operations);

} // namespace gentianplank
