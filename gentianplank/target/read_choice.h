// Which member serves a read.
//
//     const MemberView *member = chooseReader(view, need, self.place, now);
#pragma once

#include "gentianplank/target/group_view.h"

#include <optional>
#include <set>
#include <string>

namespace gentianplank {

// What a read asks of a member.
struct ReadRequirements
{
    // The session's last write, which the member must hold.
    LogPosition position;
    // The session lost its token: only the primary will do.
    bool primaryOnly = false;
    // The data may be this old; nothing means the default of the group.
    std::optional<Duration> acceptedAge;
    // Members that already failed this read.
    std::set<std::string> excluded;
};

// Whether the member may serve the read. Deterministic.
bool mayServe(const GroupView &view, const MemberView &member, const ReadRequirements &need,
              Instant now);

// Returns the best member: replicas before the primary, near before far. nullptr when none may.
const MemberView *chooseReader(const GroupView &view, const ReadRequirements &need,
                               const Place &self, Instant now);

} // namespace gentianplank
