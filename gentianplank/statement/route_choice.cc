#include "gentianplank/statement/route_choice.h"

#include "gentianplank/target/read_choice.h"

#include <algorithm>

namespace gentianplank {

namespace {

// The time that a forward reserves for the answer: at most this duration, and at most this fraction
// of the remaining time.
constexpr Duration ForwardMargin = std::chrono::milliseconds(20);
constexpr int ForwardMarginDivisor = 10;

constexpr Duration RetryAfterHint = std::chrono::milliseconds(200);

} // namespace

std::string dispatchRegion(const GroupView &view, const StatementRequest &request,
                           bool needsPrimary, const Place &self, Instant now)
{
    const ReadRequirements requirements{request.requiredPosition, false, request.acceptedAge, {}};
    const MemberView *member =
        needsPrimary ? primaryOf(view) : chooseReader(view, requirements, self, now);
    if (member != nullptr) {
        return member->place.region;
    }
    const bool hasLocalMember =
        std::any_of(view.members.begin(), view.members.end(),
                    [&](const auto &it) { return it.place.region == self.region; });
    return hasLocalMember || view.members.empty() ? self.region : view.members.front().place.region;
}

Instant forwardDeadline(Instant deadline, Instant now)
{
    return deadline -
           std::min(ForwardMargin, std::max(Duration(0), deadline - now) / ForwardMarginDivisor);
}

Refusal refusalAfterLoss(Refusal refusal, const StatementRequest &request)
{
    const bool isFinal = refusal.reason == Reason::Aborted;
    if (!request.statement.read_only() && refusal.outcome == ExecutionOutcome::NotRun && !isFinal) {
        refusal.outcome = ExecutionOutcome::Unknown;
    }
    refusal.retryAfter = std::max(refusal.retryAfter, RetryAfterHint);
    return refusal;
}

} // namespace gentianplank
