// Decides whether a group's primary that is reachable and says that it is well is replaced, since
// it fails or hangs its statements.
//
//     if (isPrimaryFailing(testimonies, otherAnsweredStatus)) { replace it }
#pragma once

#include "gentianplank/target/member_health.h"

#include <span>
#include <string>

namespace gentianplank {

// What the dispatcher of a primary must have seen before it reports it: so many statements of the
// last seconds, and failures of several organisations. Low, since VMs of other zones confirm it and
// statements that hang are few.
inline constexpr double MinReportedStatements = 3;
inline constexpr uint32_t MinFailingOrganisations = 2;

// The least time between a change of primary and one for this reason, so that members that all fail
// are not promoted in turns.
inline constexpr Duration MinFailingChangeInterval = std::chrono::seconds(20);

// What the statements of one VM saw in the last seconds.
struct PrimaryTestimony
{
    std::string zone;
    Evidence primary;
    // At the other member of the group that did best.
    Evidence other;
};

// Whether a dispatcher reports its primary as failing, by the statements that needed the primary.
// Deterministic.
bool isWorthReporting(const OutcomeTally &primaryStatements, Instant now);

// Returns the evidence for the best of the members other than `primary`. Deterministic.
Evidence bestOther(const std::map<std::string, Evidence> &members, const std::string &primary);

// Whether most of the VMs that sent the primary statements saw it fail, in at least two zones, and
// another member answers well. That is what one of the VMs saw; or, if no VM sent other members
// statements, that one of them answered a status request (`otherAnsweredStatus`): without positions
// of a primary, replicas get no reads. Deterministic.
bool isPrimaryFailing(std::span<const PrimaryTestimony> testimonies, bool otherAnsweredStatus);

} // namespace gentianplank
