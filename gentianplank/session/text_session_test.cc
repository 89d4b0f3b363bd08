#include "gentianplank/session/text_session.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;

namespace {

TextStatement statement(StatementKind kind, std::string name = "", std::string value = "")
{
    TextStatement result;
    result.kind = kind;
    result.name = std::move(name);
    result.value = std::move(value);
    return result;
}

SessionStep handle(TextSession &session, StatementKind kind, std::string name = "",
                   std::string value = "")
{
    return handleStatement(session, statement(kind, std::move(name), std::move(value)));
}

} // namespace

BOOST_AUTO_TEST_CASE(statementOutsideTransactionIsForwardedAlone)
{
    TextSession session;
    const SessionStep step = handle(session, StatementKind::Read);
    BOOST_TEST((step.action == SessionAction::Forward));
    BOOST_TEST(!step.opensTransaction);
    BOOST_TEST(!step.continuesTransaction);
    applyMemberReply(session, step, {true, TransactionState::Idle});
    BOOST_TEST((stateOf(session) == TransactionState::Idle));
}

BOOST_AUTO_TEST_CASE(transactionOpensAtFirstStatementAndEndsWithCommit)
{
    TextSession session;
    BOOST_TEST((handle(session, StatementKind::Begin).action == SessionAction::ReplyDone));
    BOOST_TEST((stateOf(session) == TransactionState::Open));
    const SessionStep first = handle(session, StatementKind::Write);
    BOOST_TEST(first.opensTransaction);
    applyMemberReply(session, first, {true, TransactionState::Open});
    const SessionStep second = handle(session, StatementKind::Commit);
    BOOST_TEST(second.continuesTransaction);
    BOOST_TEST((second.kind == ForwardKind::Commit));
    applyMemberReply(session, second, {true, TransactionState::Idle});
    BOOST_TEST((stateOf(session) == TransactionState::Idle));
}

BOOST_AUTO_TEST_CASE(failedTransactionAcceptsOnlyCommitOrRollback)
{
    TextSession session;
    handle(session, StatementKind::Begin);
    const SessionStep step = handle(session, StatementKind::Write);
    applyMemberReply(session, step, {false, TransactionState::Failed});
    BOOST_TEST((stateOf(session) == TransactionState::Failed));
    BOOST_TEST((handle(session, StatementKind::Read).code == ErrorCode::Malformed));
    BOOST_TEST((stateOf(session) == TransactionState::Failed));
    // A commit of a failed transaction must be reported as an error.
    const SessionStep commit = handle(session, StatementKind::Commit);
    BOOST_TEST((commit.action == SessionAction::ReplyError));
    BOOST_TEST((commit.code == ErrorCode::Aborted));
    BOOST_TEST((stateOf(session) == TransactionState::Idle));
}

BOOST_AUTO_TEST_CASE(rollbackIsSentOnlyIfTransactionIsOpenAtMember)
{
    TextSession session;
    handle(session, StatementKind::BeginReadOnly);
    BOOST_TEST(!handle(session, StatementKind::Rollback).needsRollback);
    handle(session, StatementKind::Begin);
    applyMemberReply(session, handle(session, StatementKind::Read), {true, TransactionState::Open});
    BOOST_TEST(handle(session, StatementKind::Rollback).needsRollback);
    BOOST_TEST((stateOf(session) == TransactionState::Idle));
}

BOOST_AUTO_TEST_CASE(locallyDetectedErrorFailsTransaction)
{
    TextSession session;
    handle(session, StatementKind::BeginReadOnly);
    applyMemberReply(session, handle(session, StatementKind::Read), {true, TransactionState::Open});
    const SessionStep step = handle(session, StatementKind::Write);
    BOOST_TEST((step.code == ErrorCode::ReadOnly));
    BOOST_TEST(step.needsRollback);
    BOOST_TEST((stateOf(session) == TransactionState::Failed));
}

BOOST_AUTO_TEST_CASE(sessionKeepsValuesAndPreparedStatements)
{
    TextSession session;
    BOOST_TEST(
        (handle(session, StatementKind::SetValue, "v", "1").action == SessionAction::ReplyDone));
    BOOST_TEST(session.values.at("v") == "1");
    BOOST_TEST((handle(session, StatementKind::Execute, "s1").code == ErrorCode::NoStatement));
    TextStatement prepare = statement(StatementKind::Prepare, "s1", "q2c");
    prepare.preparesWrite = true;
    handleStatement(session, prepare);
    const SessionStep step = handle(session, StatementKind::Execute, "s1");
    BOOST_TEST((step.kind == ForwardKind::Write));
    BOOST_TEST((step.prepared == PreparedStatement{true, "q2c"}));
    handle(session, StatementKind::Deallocate, "s1");
    BOOST_TEST((handle(session, StatementKind::Execute, "s1").code == ErrorCode::NoStatement));
}

BOOST_AUTO_TEST_CASE(commitAndRollbackWithoutTransactionAreMalformed)
{
    TextSession session;
    BOOST_TEST((handle(session, StatementKind::Commit).code == ErrorCode::Malformed));
    BOOST_TEST((handle(session, StatementKind::Rollback).code == ErrorCode::Malformed));
    BOOST_TEST((handle(session, StatementKind::Malformed).code == ErrorCode::Malformed));
}
