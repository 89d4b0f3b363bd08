#include "gentianplank/target/read_choice.h"

#include <tuple>

namespace gentianplank {

namespace {

// Accepted age of a read that states none.
constexpr Duration DefaultAcceptedAge = std::chrono::seconds(1);

// A member with an older last report isn't chosen.
constexpr Duration MaxReportAge = std::chrono::seconds(1);

} // namespace

bool mayServe(const GroupView &view, const MemberView &member, const ReadRequirements &need,
              Instant now)
{
    if (!member.connected || member.leaving || need.excluded.contains(member.name) ||
        now - member.reportedAt > MaxReportAge || !covers(member.position, need.position)) {
        return false;
    }
    if (&member == primaryOf(view)) {
        return true;
    }
    if (need.primaryOnly || member.role != Role::Replica) {
        return false;
    }
    const auto needed = positionForAge(view, need.acceptedAge.value_or(DefaultAcceptedAge), now);
    return needed && covers(member.position, *needed);
}

const MemberView *chooseReader(const GroupView &view, const ReadRequirements &need,
                               const Place &self, Instant now)
{
    const MemberView *best = nullptr;
    const auto rank = [&](const MemberView &member) {
        const bool isPrimary = &member == primaryOf(view);
        return std::tuple(distanceBetween(member.place, self) == Distance::OtherRegion, isPrimary,
                          distanceBetween(member.place, self), member.name);
    };
    for (const MemberView &it : view.members) {
        if (mayServe(view, it, need, now) && (best == nullptr || rank(it) < rank(*best))) {
            best = &it;
        }
    }
    return best;
}

} // namespace gentianplank
