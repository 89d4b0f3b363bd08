#include "gentianplank/statement/dispatch_context.h"

#include <random>

namespace gentianplank::internal {

namespace {

// Returns a request id that is unique for each barrier, so that no earlier marker is found instead.
std::string uniqueMarkerId()
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
    StatementRequest marker = request;
    marker.requestId = uniqueMarkerId();
    WriteFlow flow = makeOutcomeFlow(steadyNow(), request.deadline);
    auto answer =
        runWriteFlow(context, marker, flow,
                     [](const GroupView & /*view*/,
                        const WriteAction & /*action*/) -> tl::expected<Done, MemberError> {
                         return tl::unexpected(MemberError{});
                     });
    if (!answer && answer.error().reason == Reason::Aborted) {
        return fromWire(flow.done.position());
    }
    Refusal refusal = answer ? refuse(Reason::Conflict, ExecutionOutcome::NotRun,
                                      "the request id of the read barrier was used before")
                             : std::move(answer.error());
    // A read has no effect, whatever the outcome of its marker.
    refusal.outcome = ExecutionOutcome::NotRun;
    return tl::unexpected(std::move(refusal));
}

} // namespace gentianplank::internal
