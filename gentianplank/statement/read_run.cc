#include "gentianplank/statement/dispatch_context.h"
#include "gentianplank/target/read_choice.h"

#include <algorithm>

namespace gentianplank::internal {

namespace {

// An attempt at a member takes no longer, so that time is left for another member.
constexpr Duration LongestAttempt = std::chrono::seconds(2);

// How long a read without a fitting member waits before it looks again.
constexpr Duration ReadPause = std::chrono::milliseconds(20);

constexpr Duration RefusalHint = std::chrono::milliseconds(200);

} // namespace

tl::expected<StatementAnswer, Refusal> runRead(const DispatchContext &context,
                                               const StatementRequest &request)
{
    ReadRequirements need{request.needed, false, request.acceptedAge, {}};
    if (request.tokenLost) {
        const auto barrier = readBarrier(context, request);
        if (!barrier) {
            return tl::unexpected(barrier.error());
        }
        need.position = joined(need.position, *barrier);
    }
    MemberRequest step;
    *step.mutable_execute()->mutable_statement() = request.statement;
    context.countRequest();
    bool isRetry = false;
    while (true) {
        const auto view = context.parts.board.view(request.group);
        if (view == nullptr) {
            return tl::unexpected(noSuchGroup(request.group));
        }
        const Instant now = steadyNow();
        if (now >= request.deadline) {
            return tl::unexpected(refuse(Reason::Deadline, ExecutionOutcome::NotRun,
                                         "no member could serve the read in time", RefusalHint));
        }
        const MemberView *member = chooseReader(*view, need, context.parts.self, now);
        if (member == nullptr) {
            need.excluded.clear();
            context.parts.board.waitForChange(request.group, view,
                                              std::min(request.deadline, now + ReadPause));
            continue;
        }
        if (isRetry && !context.takeRetryToken()) {
            return tl::unexpected(refuse(Reason::TargetFailed, ExecutionOutcome::NotRun,
                                         "a member failed and the retry budget is spent",
                                         RefusalHint));
        }
        auto ticket = context.admit(request, *view, member->name, request.deadline);
        if (!ticket) {
            return tl::unexpected(ticket.error());
        }
        step.set_term(member->position.term);
        const Instant until = std::min(request.deadline, steadyNow() + LongestAttempt);
        const auto done = context.callOnce(*view, member->name, step, until);
        if (done && covers(fromWire(done->position()), need.position)) {
            return StatementAnswer{rowsOf(*done), member->name, false, std::nullopt};
        }
        if (!done && done.error().kind == target::v1::FAILURE_KIND_STATEMENT) {
            return tl::unexpected(
                refuse(Reason::StatementFailed, ExecutionOutcome::NotRun, done.error().message));
        }
        need.excluded.insert(member->name);
        isRetry = true;
    }
}

} // namespace gentianplank::internal
