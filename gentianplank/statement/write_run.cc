#include "gentianplank/statement/dispatch_context.h"

namespace gentianplank::internal {

tl::expected<StatementAnswer, Refusal> runWriteFlow(const DispatchContext &context,
                                                    const StatementRequest &request,
                                                    WriteFlow &flow, const SendStep &send)
{
    while (true) {
        const auto view = context.parts.groupViews.view(request.group);
        if (view == nullptr) {
            return tl::unexpected(unknownGroupRefusal(request.group));
        }
        flow.mayResend = context.mayRetry();
        const WriteAction action = nextAction(flow, *view, steadyNow());
        switch (action.kind) {
        case WriteActionKind::Wait:
            context.parts.groupViews.waitForChange(request.group, view, action.until);
            break;
        case WriteActionKind::Send:
            if (action.isRetry) {
                context.tryConsumeRetry();
            }
            onReply(flow, send(*view, action), steadyNow());
            break;
        case WriteActionKind::Resolve: {
            MemberRequest step;
            step.set_term(action.term);
            step.mutable_resolve()->set_request_id(request.requestId);
            onReply(flow, context.callOnce(*view, action.member, step, action.until), steadyNow());
            break;
        }
        case WriteActionKind::Acknowledge:
            return StatementAnswer{rowsOf(flow.done), flow.member, flow.done.replayed(),
                                   fromWire(flow.done.position())};
        case WriteActionKind::Refuse:
            return tl::unexpected(flow.refusal);
        }
    }
}

tl::expected<StatementAnswer, Refusal> runWrite(const DispatchContext &context,
                                                const StatementRequest &request)
{
    const Instant now = steadyNow();
    WriteFlow flow = request.outcomeOnly ? makeOutcomeFlow(now, request.deadline)
                                         : makeWriteFlow(now, request.deadline, request.retried);
    context.recordFirstAttempt();
    const auto send = [&](const GroupView &view,
                          const WriteAction &action) -> tl::expected<Done, MemberError> {
        auto ticket = context.admit(request, view, action.member, flow.resolveFrom);
        if (!ticket) {
            return refuseSend(flow, ticket.error());
        }
        MemberRequest step;
        step.set_term(action.term);
        *step.mutable_execute()->mutable_statement() = request.statement;
        step.mutable_execute()->set_request_id(request.requestId);
        return context.executeOnce(request, view, action.member, step, action.until);
    };
    return runWriteFlow(context, request, flow, send);
}

} // namespace gentianplank::internal
