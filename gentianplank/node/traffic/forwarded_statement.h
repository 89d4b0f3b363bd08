// A statement on its way from the VM where its caller is connected to the VM that dispatches for
// the member, and what became of it.
#pragma once

#include "gentianplank/base/boot_clock.h"
#include "gentianplank/peer/proto/peer.pb.h"
#include "gentianplank/session/text_session.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace gentianplank {

// A caller's session, as the dispatcher tells sessions of different VMs apart.
struct SessionId
{
    // The link or process that the session's statements come from.
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
    std::string requestId;
    // As the member gets it; of a prepared statement what follows its name.
    std::string text;
    ForwardKind kind = ForwardKind::Read;
    bool opensTransaction = false;
    bool continuesTransaction = false;
    bool isReadOnly = false;
    // What the member's log must hold: the session's own commit.
    std::optional<LogPosition> requiredPosition;
    // Of a read at a replica: it must see every commit that was acknowledged longer than this
    // before the dispatcher received it.
    std::optional<Duration> stalenessBound;
    std::map<std::string, std::string> values;
    std::optional<PreparedStatement> prepared;
    // What is left of the statement's time.
    Duration timeout{0};
    // What the whole operation should take.
    Duration latencyObjective{0};
    uint32_t priority = 0;
    // Of the group's record, when the member must be its primary; otherwise 0.
    uint64_t epoch = 0;
};

// What is known of a statement that was sent on.
enum class StatementExecution {
    // The member answered: with success, or with an error of its own.
    Answered,
    // No member ran it.
    NotRun,
    // A member may have run it.
    Unknown,
};

struct StatementOutcome
{
    StatementExecution execution = StatementExecution::NotRun;
    // Nothing when the member answered with success.
    std::optional<ErrorCode> code;
    std::string reason;
    // The member's lines that the caller gets, but for the last.
    std::string lines;
    TransactionState state = TransactionState::Idle;
    std::optional<LogPosition> position;
    // Of a refusal: when it is worth trying again.
    Duration retryAfter{0};
    // The dispatcher can't reach the member, or is not reached itself.
    bool isUnreachable = false;
    // What a new statement would wait for at the member.
    Duration expectedWait{0};
    // From the statement's sending to the member until its answer; zero when it was not sent.
    Duration timeAtMember{0};
};

using OutcomeHandler = std::function<void(StatementOutcome)>;

inline StatementOutcome notRun(ErrorCode code, std::string reason,
                               Duration retryAfter = Duration::zero())
{
    StatementOutcome outcome;
    outcome.code = code;
    outcome.reason = std::move(reason);
    outcome.retryAfter = retryAfter;
    return outcome;
}

inline StatementOutcome unreachable(std::string reason)
{
    StatementOutcome outcome = notRun(ErrorCode::Busy, std::move(reason));
    outcome.isUnreachable = true;
    return outcome;
}

inline StatementOutcome unknownOutcome(ErrorCode code, std::string reason)
{
    StatementOutcome outcome = notRun(code, std::move(reason));
    outcome.execution = StatementExecution::Unknown;
    return outcome;
}

// Translate between statements and the messages between VMs. Thread-safe.
void toWire(const ForwardedStatement &statement, peer::v1::Execute *wire);
ForwardedStatement fromWire(const peer::v1::Execute &wire);
void toWire(const StatementOutcome &outcome, peer::v1::Answer *wire);
StatementOutcome fromWire(const peer::v1::Answer &wire);
LogPosition fromWire(const peer::v1::Position &wire);
void toWire(const LogPosition &position, peer::v1::Position *wire);

} // namespace gentianplank
