// The state of a session that speaks text: its values, its prepared statements and its transaction.
//
//     TextSession session;
//     SessionStep step = handleStatement(session, statement);
//     if (step.action == SessionAction::Forward) { ... applyMemberReply(session, step, answer); }
#pragma once

#include "gentianplank/session/text_statement.h"

#include <map>
#include <string>

namespace gentianplank {

// Where a session's transaction stands.
enum class SessionTransaction {
    None,
    // Begun by the caller; no member knows of it yet.
    Announced,
    // Runs at a member, on one connection.
    Running,
    // Failed. Nothing of it is kept, and no member holds it any more.
    Failed,
};

// A plain value, for one thread at a time.
struct TextSession
{
    SessionTransaction transaction = SessionTransaction::None;
    bool isReadOnly = false;
    // In force on whatever connection the session's statements run.
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedStatement> prepared;
    // The session's last acknowledged commit in each group.
    std::map<std::string, LogPosition> lastCommits;
};

enum class SessionAction {
    // Answer without a member: done, or an error.
    ReplyDone,
    ReplyError,
    // Send to a member.
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
    // A member holds the transaction, which must be rolled back there.
    bool needsRollback = false;
    // Of Forward.
    ForwardKind kind = ForwardKind::Read;
    // The transaction starts at the member, or goes on there; neither for a single statement.
    bool opensTransaction = false;
    bool continuesTransaction = false;
    // Of a prepared statement that is executed.
    std::optional<PreparedStatement> prepared;
};

// Takes a caller's statement and says what to do. Changes of the session that need no member are
// made at once.
SessionStep handleStatement(TextSession &session, const TextStatement &statement);

// What a forwarded statement did to the session's transaction at the member.
struct MemberEffect
{
    bool succeeded = false;
    // The state of the connection after the statement.
    TransactionState state = TransactionState::Idle;
};

// Applies the answer to a forwarded statement.
void applyMemberReply(TextSession &session, const SessionStep &step, const MemberEffect &effect);

// Ends a transaction that nobody can continue; the caller learns it with its next statement.
void failTransaction(TextSession &session);

// The state that the caller is told.
TransactionState stateOf(const TextSession &session);

} // namespace gentianplank
