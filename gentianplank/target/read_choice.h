// Chooses the member that serves a read.
//
//     const MemberView *member = chooseReader(view, need, self.place, now);
#pragma once

#include "gentianplank/target/group_view.h"

#include <optional>
#include <set>
#include <string>

namespace gentianplank {

// Requirements that a member must meet to serve a read.
struct ReadRequirements
{
    // The session's last write, which the member must have applied.
    LogPosition position;
    // Only the primary may serve the read, since the session lost its token.
    bool primaryOnly = false;
    // The maximum age of the data; nullopt means the default of 1 s.
    std::optional<Duration> acceptedAge;
    // Members that already failed this read.
    std::set<std::string> excluded;
};

// Whether the member may serve the read.
bool mayServe(const GroupView &view, const MemberView &member, const ReadRequirements &need,
              Instant now);

// Returns the best member that may serve the read, or nullptr. Members of the caller's region come
// first, then replicas before the primary, then nearer before farther members.
const MemberView *chooseReader(const GroupView &view, const ReadRequirements &need,
                               const Place &self, Instant now);

} // namespace gentianplank
