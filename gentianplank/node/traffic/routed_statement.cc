#include "gentianplank/node/traffic/routed_statement.h"

namespace gentianplank {

RoutedStatement routedStatement(const DatabaseRoute &route)
{
    RoutedStatement request;
    request.statement.group = route.group;
    request.statement.latencyObjective = route.objective;
    request.statement.priority = route.priority;
    request.origin = {route.database, route.homeRegions};
    request.consistency = route.consistency;
    request.staleness = route.staleness;
    return request;
}

bool needsPrimary(const RoutedStatement &request)
{
    const ForwardedStatement &statement = request.statement;
    if (request.consistency == Consistency::Primary) {
        return true;
    }
    const bool inPlainTransaction = statement.opensTransaction && !statement.isReadOnly;
    return statement.kind == ForwardKind::Write || inPlainTransaction;
}

ZoneRequest zoneRequestOf(const RoutedStatement &request, Instant now)
{
    const Duration objective = request.statement.latencyObjective;
    return {requestSeed(request.statement.requestId),
            objective > Duration::zero() ? objective - (bootNow() - request.arrivedAt)
                                         : Duration::max(),
            request.deadline - now, false};
}

StatementOutcome callerOutcome(const ForwardedStatement &statement, StatementOutcome outcome)
{
    const bool inTransaction = statement.continuesTransaction || statement.opensTransaction;
    if (outcome.execution == StatementExecution::Answered) {
        return outcome;
    }
    if (outcome.execution == StatementExecution::Unknown && statement.kind != ForwardKind::Commit) {
        if (inTransaction) {
            // The commit was never sent, so the member rolls the transaction back.
            outcome.execution = StatementExecution::NotRun;
            outcome.code = ErrorCode::Aborted;
        }
    }
    if (outcome.execution == StatementExecution::NotRun && inTransaction) {
        outcome.code = ErrorCode::Aborted;
    }
    outcome.state = inTransaction && statement.kind != ForwardKind::Commit
                        ? TransactionState::Failed
                        : TransactionState::Idle;
    return outcome;
}

} // namespace gentianplank
