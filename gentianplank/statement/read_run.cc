#include "gentianplank/statement/dispatch_context.h"
#include "gentianplank/target/read_choice.h"

#include <algorithm>

namespace gentianplank::internal {

namespace {

// Limits an attempt at one member, so that time is left for another member.
constexpr Duration MaxAttemptDuration = std::chrono::seconds(2);

// A read without an eligible member checks again after this time, or when the group view changes.
constexpr Duration ReadRetryInterval = std::chrono::milliseconds(20);

constexpr Duration RetryAfterHint = std::chrono::milliseconds(200);

} // namespace

tl::expected<StatementAnswer, Refusal> runRead(const DispatchContext &context,
                                               const StatementRequest &request)
{
    ReadRequirements requirements{request.requiredPosition, false, request.acceptedAge, {}};
    if (request.tokenLost) {
        const auto barrier = readBarrier(context, request);
        if (!barrier) {
            return tl::unexpected(barrier.error());
        }
        requirements.position = mergePositions(requirements.position, *barrier);
    }
    MemberRequest step;
    *step.mutable_execute()->mutable_statement() = request.statement;
    context.recordFirstAttempt();
    bool isRetry = false;
    while (true) {
        const auto view = context.parts.groupViews.view(request.group);
        if (view == nullptr) {
            return tl::unexpected(unknownGroupRefusal(request.group));
        }
        const Instant now = steadyNow();
        if (now >= request.deadline) {
            return tl::unexpected(refuse(Reason::Deadline, ExecutionOutcome::NotRun,
                                         "no member could serve the read before its deadline",
                                         RetryAfterHint));
        }
        const MemberView *member = chooseReader(*view, requirements, context.parts.self, now);
        if (member == nullptr) {
            requirements.excluded.clear();
            context.parts.groupViews.waitForChange(
                request.group, view, std::min(request.deadline, now + ReadRetryInterval));
            continue;
        }
        if (isRetry && !context.tryConsumeRetry()) {
            return tl::unexpected(refuse(Reason::TargetFailed, ExecutionOutcome::NotRun,
                                         "a member failed and the retry budget is exhausted",
                                         RetryAfterHint));
        }
        auto ticket = context.admit(request, *view, member->name, request.deadline);
        if (!ticket) {
            return tl::unexpected(ticket.error());
        }
        step.set_term(member->position.term);
        const Instant until = std::min(request.deadline, steadyNow() + MaxAttemptDuration);
        const auto done = context.executeOnce(request, *view, member->name, step, until);
        if (done && covers(fromWire(done->position()), requirements.position)) {
            return StatementAnswer{rowsOf(*done), member->name, false, std::nullopt};
        }
        if (!done && done.error().kind == target::v1::FAILURE_KIND_STATEMENT) {
            return tl::unexpected(
                refuse(Reason::StatementFailed, ExecutionOutcome::NotRun, done.error().message));
        }
        if (auto refusal = context.keyRefusal(request)) {
            return tl::unexpected(std::move(*refusal));
        }
        requirements.excluded.insert(member->name);
        isRetry = true;
    }
}

} // namespace gentianplank::internal
