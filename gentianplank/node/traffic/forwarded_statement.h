// A statement that is forwarded from the VM of its caller's connection to the VM that dispatches
// for the member, and its outcome, with the conversion to and from the peer protocol.
#pragma once

#include "gentianplank/base/boot_clock.h"
#include "gentianplank/peer/proto/peer.pb.h"
#include "gentianplank/session/text_session.h"
#include "gentianplank/target/member_health.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace gentianplank {

// Identifies a caller's session across the VMs that forward statements to a dispatcher.
struct SessionId
{
    // Number of the peer link that the session's statements arrive on; 0 for callers of this VM.
    uint64_t origin = 0;
    uint64_t session = 0;

    auto operator<=>(const SessionId &) const = default;
};

struct ForwardedStatement
{
    SessionId session;
    std::string group;
    std::string member;
    std::string organisation;
    // Of the caller's key, see keyFingerprint(), and the revision of the configuration by which the
    // organisation holds it. 0 from a VM that sends no revision.
    uint64_t keyFingerprint = 0;
    uint64_t revision = 0;
    std::string requestId;
    // Text for the member; for a prepared statement, the arguments after its name.
    std::string text;
    ForwardKind kind = ForwardKind::Read;
    bool opensTransaction = false;
    bool continuesTransaction = false;
    bool isReadOnly = false;
    // Log position that the member must have applied before it runs the statement.
    std::optional<LogPosition> requiredPosition;
    // For a read at a replica: the read must see every commit that was acknowledged more than this
    // long before the dispatcher received the statement.
    std::optional<Duration> stalenessBound;
    std::map<std::string, std::string> values;
    std::optional<PreparedStatement> prepared;
    // Time left until the statement's deadline.
    Duration timeout{0};
    // Latency objective of the statement's route.
    Duration latencyObjective{0};
    uint32_t priority = 0;
    // Epoch of the group's record if the member must be its primary; otherwise 0.
    uint64_t epoch = 0;
};

// Whether a forwarded statement was executed.
enum class StatementExecution {
    // The member answered, with success or with an error.
    Answered,
    // No member executed it.
    NotRun,
    // A member may have executed it.
    Unknown,
};

struct StatementOutcome
{
    StatementExecution execution = StatementExecution::NotRun;
    // Unset if the member answered with success.
    std::optional<ErrorCode> code;
    std::string reason;
    // Lines of the member's answer for the caller, without the final READY line.
    std::string lines;
    TransactionState state = TransactionState::Idle;
    std::optional<LogPosition> position;
    // For a rejected statement: the delay after which a retry may succeed.
    Duration retryAfter{0};
    // The dispatcher is unreachable, or can't reach the member or use it as the primary; another
    // dispatcher may succeed.
    bool isUnreachable = false;
    // Expected queueing delay of a new statement at the member.
    Duration expectedWait{0};
    // Time from sending the statement to the member until its answer; 0 if it was not sent.
    Duration timeAtMember{0};
    // How long the member had the statement without answering it, when the dispatcher gave up; 0 if
    // the answer was not lost between the dispatcher and the member.
    Duration unansweredFor{0};
    // The dispatching VM's number of the connection that the statement had; 0 if it had none. Its
    // log event "connection.opened" names the organisation that the connection was started for.
    uint64_t connection = 0;
    // How the member handled the reads of all VMs in the last seconds, as its dispatcher saw them.
    Evidence memberReads;
};

using OutcomeHandler = std::function<void(StatementOutcome)>;

// Returns the outcome of a statement that no member executed.
inline StatementOutcome notRun(ErrorCode code, std::string reason,
                               Duration retryAfter = Duration::zero())
{
    StatementOutcome outcome;
    outcome.code = code;
    outcome.reason = std::move(reason);
    outcome.retryAfter = retryAfter;
    return outcome;
}

// Returns the outcome of a statement that was not executed because the member or its dispatcher is
// unreachable.
inline StatementOutcome unreachable(std::string reason)
{
    StatementOutcome outcome = notRun(ErrorCode::Busy, std::move(reason));
    outcome.isUnreachable = true;
    return outcome;
}

// Returns the outcome of a statement that a member may have executed.
inline StatementOutcome unknownOutcome(ErrorCode code, std::string reason)
{
    StatementOutcome outcome = notRun(code, std::move(reason));
    outcome.execution = StatementExecution::Unknown;
    return outcome;
}

// Convert to and from the messages of the peer protocol. Thread-safe.
void toWire(const ForwardedStatement &statement, peer::v1::Execute *wire);
ForwardedStatement fromWire(const peer::v1::Execute &wire);
void toWire(const StatementOutcome &outcome, peer::v1::Answer *wire);
StatementOutcome fromWire(const peer::v1::Answer &wire);
LogPosition fromWire(const peer::v1::Position &wire);
void toWire(const LogPosition &position, peer::v1::Position *wire);

} // namespace gentianplank
