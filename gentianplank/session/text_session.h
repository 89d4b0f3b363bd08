// State of a session of the text protocol: its values, prepared statements and transaction.
//
//     TextSession session;
//     SessionStep step = handleStatement(session, statement);
//     if (step.action == SessionAction::Forward) { ... applyMemberReply(session, step, result); }
#pragma once

#include "gentianplank/session/text_statement.h"

#include <map>
#include <string>

namespace gentianplank {

// State of a session's transaction.
enum class SessionTransaction {
    None,
    // Begun by the caller, but not yet opened at a member.
    Begun,
    // Open at a member, on one connection.
    Running,
    // Failed. It had no effect, and no member has it open.
    Failed,
};

// A plain value, not thread-safe.
struct TextSession
{
    SessionTransaction transaction = SessionTransaction::None;
    bool isReadOnly = false;
    // Session values. They apply on every connection on which the session's statements run.
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedStatement> prepared;
    // The session's last acknowledged commit in each group.
    std::map<std::string, LogPosition> lastCommits;
};

enum class SessionAction {
    // Reply without a member: success or an error.
    ReplyDone,
    ReplyError,
    // Forward to a member.
    Forward,
};

enum class ForwardKind {
    Read,
    Write,
    Commit,
};

struct SessionStep
{
    SessionAction action = SessionAction::ReplyError;
    ErrorCode code = ErrorCode::Malformed;
    std::string reason;
    // The transaction is open at a member and must be rolled back there.
    bool needsRollback = false;
    // Set for Forward.
    ForwardKind kind = ForwardKind::Read;
    // Whether the statement opens the transaction at the member or runs within it. Both are false
    // for a statement outside a transaction.
    bool opensTransaction = false;
    bool continuesTransaction = false;
    // Set for a prepared statement that is executed.
    std::optional<PreparedStatement> prepared;
};

// Handles a caller's statement and returns how to proceed. Changes of the session that need no
// member are applied at once.
SessionStep handleStatement(TextSession &session, const TextStatement &statement);

// Result of a forwarded statement, as far as it affects the session's transaction.
struct MemberResult
{
    bool succeeded = false;
    // Transaction state of the connection after the statement.
    TransactionState state = TransactionState::Idle;
};

// Applies the result of a forwarded statement.
void applyMemberReply(TextSession &session, const SessionStep &step, const MemberResult &result);

// Marks a transaction as failed that can't be continued. The caller learns it with its next
// statement.
void failTransaction(TextSession &session);

// Returns the transaction state to report to the caller.
TransactionState stateOf(const TextSession &session);

} // namespace gentianplank
