#include "gentianplank/statement/dispatch_context.h"

#include <random>

namespace gentianplank::internal {

namespace {

// Unique for each barrier, so that no earlier mark answers for it.
std::string freshId()
{
    std::random_device device;
    std::string id = "barrier";
    for (int i = 0; i < 4; ++i) {
        id += "-" + std::to_string(device());
    }
    return id;
}

} // namespace

tl::expected<LogPosition, Refusal> readBarrier(const DispatchContext &context,
                                               const StatementRequest &request)
{
    StatementRequest mark = request;
    mark.requestId = freshId();
    WriteFlow flow = makeOutcomeFlow(steadyNow(), request.deadline);
    auto answer =
        runWriteFlow(context, mark, flow,
                     [](const GroupView & /*view*/,
                        const WriteAction & /*action*/) -> tl::expected<Done, MemberError> {
                         return tl::unexpected(MemberError{});
                     });
    if (!answer && answer.error().reason == Reason::Aborted) {
        return fromWire(flow.done.position());
    }
    Refusal refusal =
        answer ? refuse(Reason::Conflict, ExecutionOutcome::NotRun, "the mark is not fresh")
               : std::move(answer.error());
    // A read has no effect, whatever became of its mark.
    refusal.outcome = ExecutionOutcome::NotRun;
    return tl::unexpected(std::move(refusal));
}

} // namespace gentianplank::internal
