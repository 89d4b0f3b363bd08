#include "gentianplank/statement/route_choice.h"

#include "gentianplank/target/read_choice.h"

#include <algorithm>

namespace gentianplank {

namespace {

// What a forward leaves of the time: at most this long, and at most this fraction.
constexpr Duration ForwardMargin = std::chrono::milliseconds(20);
constexpr int ForwardShare = 10;

constexpr Duration RefusalHint = std::chrono::milliseconds(200);

} // namespace

std::string dispatchRegion(const GroupView &view, const StatementRequest &request,
                           bool needsPrimary, const Place &self, Instant now)
{
    const ReadRequirements need{request.needed, false, request.acceptedAge, {}};
    const MemberView *member = needsPrimary ? primaryOf(view) : chooseReader(view, need, self, now);
    if (member != nullptr) {
        return member->place.region;
    }
    const bool isHere = std::any_of(view.members.begin(), view.members.end(),
                                    [&](const auto &it) { return it.place.region == self.region; });
    return isHere || view.members.empty() ? self.region : view.members.front().place.region;
}

Instant forwardDeadline(Instant deadline, Instant now)
{
    return deadline - std::min(ForwardMargin, std::max(Duration(0), deadline - now) / ForwardShare);
}

Refusal refusalAfterLoss(Refusal refusal, const StatementRequest &request)
{
    const bool isSettled = refusal.reason == Reason::Aborted;
    if (!request.statement.read_only() && refusal.outcome == ExecutionOutcome::NotRun &&
        !isSettled) {
        refusal.outcome = ExecutionOutcome::Unknown;
    }
    refusal.retryAfter = std::max(refusal.retryAfter, RefusalHint);
    return refusal;
}

} // namespace gentianplank
