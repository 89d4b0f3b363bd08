// Selects the region whose dispatcher runs a statement, and adjusts the refusal after a lost
// forward.
//
// Each member is used only by the dispatcher of its own region, so that its slots, connections and
// fair shares are accounted for in one place.
//
//     const std::string region = dispatchRegion(view, request, needsPrimary, self, now);
//     forwarded.deadline = forwardDeadline(request.deadline, now);
#pragma once

#include "gentianplank/statement/statement.h"
#include "gentianplank/target/group_view.h"
#include "gentianplank/zone/place.h"

namespace gentianplank {

// Returns the region of the member that should run the statement: of the primary for a write or a
// transaction, of the best reader for a read. If there is no such member, returns the VM's own
// region if the group has members there, or else the region of the first member. Deterministic.
std::string dispatchRegion(const GroupView &view, const StatementRequest &request,
                           bool needsPrimary, const Place &self, Instant now);

// Returns an earlier deadline for the forwarded request, which leaves the forwarding VM time to
// answer before its own.
Instant forwardDeadline(Instant deadline, Instant now);

// Returns the refusal for a request of which an earlier forward was lost. For a write, "not run"
// becomes "unknown" unless it is the group's own record of the request id. Sets a minimum retry
// delay.
Refusal refusalAfterLoss(Refusal refusal, const StatementRequest &request);

} // namespace gentianplank
