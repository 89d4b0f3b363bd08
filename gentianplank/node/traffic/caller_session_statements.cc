#include "gentianplank/node/traffic/caller_session_state.h"

#include "gentianplank/base/event_log.h"

#include <algorithm>
#include <utility>

namespace gentianplank {

using platform::CallerMessage;

namespace {

// Limit on the session values and prepared statements of one session together.
constexpr size_t MaxSessionNames = 1000;
// Limit on their bytes. They are copied with each statement; a value may be as large as a message.
constexpr size_t MaxSessionStateBytes = 2 * platform::MaxMessageBytes;

// Whether a member may have executed the statement.
bool mayHaveRun(const StatementOutcome &outcome)
{
    if (outcome.execution == StatementExecution::Answered) {
        return !outcome.code || !guaranteesNoEffect(*outcome.code);
    }
    return outcome.execution == StatementExecution::Unknown;
}

} // namespace

void CallerSession::State::handleQuery(const CallerMessage &message)
{
    if (!hasStarted) {
        write(platform::encodeError(ErrorCode::Malformed, "QUERY before START"), true);
        return;
    }
    hasSentStatement = true;
    const TextStatement &statement = message.statement;
    if (session.values.size() + session.prepared.size() > MaxSessionNames ||
        stateBytes > MaxSessionStateBytes) {
        closeReason = CloseReason::TooBig;
        write(platform::encodeError(ErrorCode::TooBig,
                                    "the session exceeds 1000 values and prepared statements, or "
                                    "2 MiB of them"),
              true);
        return;
    }
    const SessionStep step = handleStatement(session, statement);
    recordStateBytes(statement);
    if (step.needsRollback) {
        rollBackAtMember();
    }
    switch (step.action) {
    case SessionAction::ReplyDone:
        answer(platform::encodeDone(), {});
        return;
    case SessionAction::ReplyError:
        answer(platform::encodeError(step.code, step.reason), {});
        return;
    case SessionAction::Forward:
        forward(step, statement);
        return;
    }
}

// Checks the statement against the configuration and requests admission at the organisation's rate.
void CallerSession::State::forward(const SessionStep &step, const TextStatement &statement)
{
    // Of the statement before, which a refusal must not name.
    const std::string former = std::exchange(organisation, {});
    hasTakenToken = false;
    const auto routing = environment.provenRouting();
    if (!routing) {
        rejectStatement(step, statement, ErrorCode::Busy,
                        "no configuration is proven to be in force on this VM",
                        UnavailableRetryAfter);
        return;
    }
    const DatabaseRoute *route =
        step.continuesTransaction ? &transactionRoute : routing->routeOf(database);
    if (route == nullptr) {
        rejectStatement(step, statement, ErrorCode::NoDatabase,
                        "no route serves this database name");
        return;
    }
    const OrganisationLimits *holder = routing->organisationOfKey(key);
    const auto caller = organisationOfCaller(*route, holder);
    if (!caller) {
        rejectStatement(step, statement, ErrorCode::NoAuthorisation,
                        "the API key is unknown or was withdrawn");
        return;
    }
    organisation = *caller;
    if (organisation != former) {
        memory.setOwner(holder == nullptr ? "" : holder->name, clientAddress);
    }
    if (step.continuesTransaction && organisation != transactionOrganisation) {
        // The connection of the transaction was started for the former organisation.
        rejectStatement(step, statement, ErrorCode::Aborted,
                        "the transaction was opened for an organisation that no longer holds the "
                        "key");
        return;
    }
    if (!admitsCopies(step, statement)) {
        rejectStatement(step, statement, ErrorCode::Busy,
                        "this VM has no memory for a statement of this size",
                        UnavailableRetryAfter);
        return;
    }
    isBusy = true;
    if (holder == nullptr || step.continuesTransaction) {
        routeAdmitted(step, statement, *route);
        return;
    }
    environment.rates->admit(organisation, [owner = self.lock(), step, statement,
                                            chosen = *route](bool isAdmitted) {
        State &state = *owner->m_state;
        if (!isAdmitted) {
            state.rejectStatement(step, statement, ErrorCode::Busy,
                                  "the organisation's rate limit is exhausted",
                                  state.environment.rates->retryDelay(
                                      state.organisation, chosen.priority, statement.requestId));
            return;
        }
        state.hasTakenToken = true;
        state.routeAdmitted(step, statement, chosen);
    });
}

void CallerSession::State::routeAdmitted(const SessionStep &step, const TextStatement &statement,
                                         const DatabaseRoute &route)
{
    RoutedStatement request = routedStatement(route);
    ForwardedStatement &forwarded = request.statement;
    forwarded.session = {0, number};
    forwarded.organisation = organisation;
    forwarded.keyFingerprint = fingerprint;
    forwarded.requestId = statement.requestId;
    forwarded.text = step.prepared ? statement.arguments : statement.text;
    forwarded.kind = step.kind;
    forwarded.opensTransaction = step.opensTransaction;
    forwarded.continuesTransaction = step.continuesTransaction;
    forwarded.isReadOnly = session.isReadOnly && session.transaction != SessionTransaction::None;
    forwarded.values = session.values;
    forwarded.prepared = step.prepared;
    request.arrivedAt = queryReceivedAt;
    request.deadline = std::min(queryReceivedAtSteady + route.timeout, environment.answerDeadline);
    const auto commit = session.lastCommits.find(route.group);
    if (commit != session.lastCommits.end()) {
        request.lastCommit = commit->second;
        request.lastCommitAt = lastCommitAt[route.group];
    }
    if (step.continuesTransaction) {
        forwarded.member = transactionMember;
        forwarded.epoch = transactionEpoch;
        request.pinnedVm = transactionVm;
    } else {
        transactionRoute = route;
        transactionGroup = route.group;
        transactionOrganisation = organisation;
    }
    // The text is not needed for the outcome.
    TextStatement brief;
    brief.requestId = statement.requestId;
    environment.router->route(std::move(request),
                              [owner = self.lock(), step, brief](RoutedOutcome result) {
                                  owner->m_state->handleOutcome(step, brief, std::move(result));
                              });
}

void CallerSession::State::handleOutcome(const SessionStep &step, const TextStatement &statement,
                                         RoutedOutcome result)
{
    memory.set(MemoryHolder::Statements, 0);
    StatementOutcome &outcome = result.outcome;
    const bool succeeded = outcome.execution == StatementExecution::Answered && !outcome.code;
    const Duration duration = steadyNow() - queryReceivedAtSteady;
    logEvent("statement", {{"id", statement.requestId},
                           {"session", number},
                           {"database", database},
                           {"organisation", organisation},
                           {"vm", result.vm},
                           {"member", result.member},
                           {"epoch", result.epoch},
                           {"connection", outcome.connection},
                           {"took_ms", toMilliseconds(duration)},
                           {"added_us", (duration - outcome.timeAtMember).count()},
                           {"fate", static_cast<int>(outcome.execution)},
                           {"outcome", succeeded ? "done" : outcome.reason}});
    environment.report({succeeded, outcome.code, duration, duration - outcome.timeAtMember});
    applyMemberReply(session, step, {succeeded, outcome.state});
    if (step.continuesTransaction && outcome.execution != StatementExecution::Answered) {
        rollBackAtMember();
    }
    if (hasTakenToken && !mayHaveRun(outcome)) {
        environment.rates->refundToken(organisation);
    }
    if (session.transaction == SessionTransaction::Running && !result.member.empty()) {
        transactionVm = result.vm;
        transactionMember = result.member;
        transactionEpoch = result.epoch;
    }
    if (isClosed) {
        if (session.transaction == SessionTransaction::Running) {
            rollBackAtMember();
        }
        return;
    }
    if (succeeded && outcome.position && step.kind != ForwardKind::Read &&
        !(step.kind == ForwardKind::Write && session.transaction != SessionTransaction::None)) {
        session.lastCommits[transactionGroup] = *outcome.position;
        lastCommitAt[transactionGroup] = steadyNow();
    }
    isBusy = false;
    if (outcome.execution == StatementExecution::Answered) {
        answer(std::move(outcome.lines), outcome.position);
    } else {
        answer(platform::encodeError(outcome.code.value_or(ErrorCode::Unknown),
                                     withRetryHint(outcome.reason, outcome.retryAfter)),
               {});
    }
    processMessages();
    read();
}

// Rejects a statement that was not sent to any member.
void CallerSession::State::rejectStatement(const SessionStep &step, const TextStatement &statement,
                                           ErrorCode code, const std::string &reason,
                                           Duration retryAfter)
{
    memory.set(MemoryHolder::Statements, 0);
    logEvent("refused", {{"id", statement.requestId},
                         {"session", number},
                         {"database", database},
                         {"organisation", organisation},
                         {"why", reason},
                         {"retry_after_ms", toMilliseconds(retryAfter)}});
    const Duration duration = steadyNow() - queryReceivedAtSteady;
    environment.report({false, code, duration, duration});
    if (step.continuesTransaction) {
        rollBackAtMember();
    }
    if (step.kind == ForwardKind::Commit) {
        session.transaction = SessionTransaction::None;
    } else {
        failTransaction(session);
    }
    const bool wasBusy = isBusy;
    isBusy = false;
    if (!isClosed) {
        answer(platform::encodeError(code, withRetryHint(reason, retryAfter)), {});
        if (wasBusy) {
            processMessages();
            read();
        }
    }
}

} // namespace gentianplank
