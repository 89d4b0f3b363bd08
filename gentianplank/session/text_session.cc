#include "gentianplank/session/text_session.h"

namespace gentianplank {

namespace {

SessionStep done()
{
    SessionStep step;
    step.action = SessionAction::ReplyDone;
    return step;
}

SessionStep error(ErrorCode code, std::string reason)
{
    SessionStep step;
    step.code = code;
    step.reason = std::move(reason);
    return step;
}

SessionStep forward(const TextSession &session, ForwardKind kind)
{
    SessionStep step;
    step.action = SessionAction::Forward;
    step.kind = kind;
    step.opensTransaction = session.transaction == SessionTransaction::Begun;
    step.continuesTransaction = session.transaction == SessionTransaction::Running;
    return step;
}

SessionStep begin(TextSession &session, bool isReadOnly)
{
    if (session.transaction != SessionTransaction::None) {
        return error(ErrorCode::Malformed, "a transaction is already open");
    }
    session.transaction = SessionTransaction::Begun;
    session.isReadOnly = isReadOnly;
    return done();
}

SessionStep rollback(TextSession &session)
{
    if (session.transaction == SessionTransaction::None) {
        return error(ErrorCode::Malformed, "no transaction is open");
    }
    SessionStep step = done();
    step.needsRollback = session.transaction == SessionTransaction::Running;
    session.transaction = SessionTransaction::None;
    return step;
}

SessionStep commit(TextSession &session)
{
    if (session.transaction == SessionTransaction::None) {
        return error(ErrorCode::Malformed, "no transaction is open");
    }
    return forward(session, ForwardKind::Commit);
}

SessionStep write(const TextSession &session)
{
    if (session.transaction != SessionTransaction::None && session.isReadOnly) {
        return error(ErrorCode::ReadOnly, "cannot write in a read-only transaction");
    }
    return forward(session, ForwardKind::Write);
}

SessionStep execute(TextSession &session, const TextStatement &statement)
{
    const auto it = session.prepared.find(statement.name);
    if (it == session.prepared.end()) {
        return error(ErrorCode::NoStatement, "no prepared statement is named " + statement.name);
    }
    SessionStep step = it->second.writes ? write(session) : forward(session, ForwardKind::Read);
    step.prepared = it->second;
    return step;
}

SessionStep deallocate(TextSession &session, const std::string &name)
{
    if (session.prepared.erase(name) == 0) {
        return error(ErrorCode::NoStatement, "no prepared statement is named " + name);
    }
    return done();
}

SessionStep handleInFailedTransaction(TextSession &session, StatementKind kind)
{
    if (kind == StatementKind::Rollback) {
        session.transaction = SessionTransaction::None;
        return done();
    }
    if (kind == StatementKind::Commit) {
        session.transaction = SessionTransaction::None;
        return error(ErrorCode::Aborted, "the transaction failed and was rolled back");
    }
    return error(ErrorCode::Malformed,
                 "the transaction has failed; only COMMIT or ROLLBACK is accepted");
}

SessionStep planStatement(TextSession &session, const TextStatement &statement)
{
    switch (statement.kind) {
    case StatementKind::Begin:
        return begin(session, false);
    case StatementKind::BeginReadOnly:
        return begin(session, true);
    case StatementKind::Rollback:
        return rollback(session);
    case StatementKind::Commit:
        return commit(session);
    case StatementKind::Read:
        return forward(session, ForwardKind::Read);
    case StatementKind::Write:
        return write(session);
    case StatementKind::SetValue:
        session.values[statement.name] = statement.value;
        return done();
    case StatementKind::Prepare:
        session.prepared[statement.name] = {statement.preparesWrite, statement.value};
        return done();
    case StatementKind::Execute:
        return execute(session, statement);
    case StatementKind::Deallocate:
        return deallocate(session, statement.name);
    case StatementKind::Malformed:
        break;
    }
    return error(ErrorCode::Malformed, "the statement is unknown or malformed");
}

} // namespace

SessionStep handleStatement(TextSession &session, const TextStatement &statement)
{
    if (session.transaction == SessionTransaction::Failed &&
        statement.kind != StatementKind::Malformed) {
        return handleInFailedTransaction(session, statement.kind);
    }
    SessionStep step = planStatement(session, statement);
    if (step.action == SessionAction::ReplyError &&
        session.transaction != SessionTransaction::None) {
        step.needsRollback = session.transaction == SessionTransaction::Running;
        session.transaction = SessionTransaction::Failed;
    }
    return step;
}

void applyMemberReply(TextSession &session, const SessionStep &step, const MemberResult &result)
{
    if (step.kind == ForwardKind::Commit) {
        session.transaction = SessionTransaction::None;
        return;
    }
    if (!step.opensTransaction && !step.continuesTransaction) {
        return;
    }
    const bool isOpen = result.state == TransactionState::Open;
    session.transaction = isOpen ? SessionTransaction::Running : SessionTransaction::Failed;
}

void failTransaction(TextSession &session)
{
    if (session.transaction != SessionTransaction::None) {
        session.transaction = SessionTransaction::Failed;
    }
}

TransactionState stateOf(const TextSession &session)
{
    switch (session.transaction) {
    case SessionTransaction::None:
        return TransactionState::Idle;
    case SessionTransaction::Begun:
    case SessionTransaction::Running:
        return TransactionState::Open;
    case SessionTransaction::Failed:
        break;
    }
    return TransactionState::Failed;
}

} // namespace gentianplank
