// Defines a statement request and the interfaces that run it: the dispatcher of this VM, or a peer
// that dispatches for the group.
//
//     auto answer = runner.execute(request);
//     if (!answer) { return toStatus(answer.error()); }
#pragma once

#include "gentianplank/base/refusal.h"
#include "gentianplank/proto/common.pb.h"
#include "gentianplank/session/log_position.h"
#include "gentianplank/target/member_connection.h"

#include <tl/expected.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gentianplank {

using Statement = common::v1::Statement;
using Rows = std::vector<common::v1::Row>;

// A statement of an organisation that passed the checks of key, route and rate.
struct StatementRequest
{
    std::string organisation;
    // The digest of the caller's key, which must be granted to the organisation when the statement
    // is sent, and the revision of the configuration that the checks were made by. Empty without a
    // key.
    std::string keyDigest;
    uint64_t revision = 0;
    std::string group;
    // Unique for each logical request, and the same for its retries; never empty for a write.
    std::string requestId;
    Statement statement;
    // The log position that a read must cover.
    LogPosition requiredPosition;
    // The session lost its token, so a read barrier determines the position.
    bool tokenLost = false;
    // The staleness that the caller accepts for a read.
    std::optional<Duration> acceptedAge;
    Instant deadline{};
    // An earlier attempt with this request id had no final answer; "not run" then requires the
    // group's record of the request id.
    bool retried = false;
    // Only the outcome of the request id is requested: a write that ran is reported, any other is
    // recorded as aborted so that it can't run later.
    bool outcomeOnly = false;
    // The number of VMs that have forwarded the request.
    uint32_t hops = 0;
    // The VM that received the request from the caller.
    std::string entryVm;
};

struct StatementAnswer
{
    Rows rows;
    std::string member;
    // The group had already recorded the request id; the answer is the recorded one.
    bool replayed = false;
    // Set after a write: the position that later reads of the session must cover.
    std::optional<LogPosition> written;
};

// The end of a streamed answer that is complete.
struct PulledAnswer
{
    common::v1::AnswerEnd end;
    std::string member;
};

// Requests the commit of a transaction.
struct CommitRequest
{
    // Unique within the organisation; never empty.
    std::string requestId;
    // An earlier commit with this request id had no final answer.
    bool retried = false;
    Instant deadline{};
};

// A running transaction. Not thread-safe. Destroying it without a commit rolls it back.
class TransactionRun
{
public:
    virtual ~TransactionRun() = default;

    virtual tl::expected<StatementAnswer, Refusal> execute(const Statement &statement,
                                                           Instant deadline) = 0;
    virtual tl::expected<StatementAnswer, Refusal> commit(const CommitRequest &request) = 0;
    virtual void rollback() = 0;
};

// Runs statements. Thread-safe; calls block.
class StatementRunner
{
public:
    virtual ~StatementRunner() = default;

    virtual tl::expected<StatementAnswer, Refusal> execute(const StatementRequest &request) = 0;

    // Streams the answer of a read into the sink, which may block; stops when the sink returns
    // false.
    virtual tl::expected<PulledAnswer, Refusal> pull(const StatementRequest &request,
                                                     const ChunkSink &sink) = 0;

    // Opens a transaction at the group's primary. Ignores the request's statement.
    virtual tl::expected<std::unique_ptr<TransactionRun>, Refusal>
    begin(const StatementRequest &request) = 0;
};

} // namespace gentianplank
