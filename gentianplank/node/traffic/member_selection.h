// Selects the member that runs a statement: every member of the group is either excluded, with the
// reason, or eligible and ranked by its cost. The router uses it for each attempt, and operators
// see the same assessment in explanations.
//
//     const auto members = assessMembers(request, context);
//     if (const MemberAssessment *best = bestMember(members)) { send through best->dispatcher; }
#pragma once

#include "gentianplank/node/traffic/fleet_view.h"
#include "gentianplank/target/home_regions.h"
#include "gentianplank/target/member_choice.h"
#include "gentianplank/target/zone_balance.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// What recent statements of this VM showed about a member.
struct MemberObservations
{
    // Expected wait for a slot, as last reported by the member's dispatcher, and when.
    Duration expectedWait{0};
    Instant loadReportedAt{};
    // Statements of this VM that were sent to the member and not answered.
    uint32_t inFlight = 0;
    // The member reported that it lags; until then it is ranked as lagging.
    Instant laggingUntil{};
};

// What a statement needs of its member.
struct SelectionRequest
{
    std::string_view group;
    // Only the group's primary may run it.
    bool needsPrimary = false;
    // The session committed so recently that replicas are unlikely to have the commit.
    bool followsRecentCommit = false;
    // Members that failed this statement before.
    const std::set<std::string> &failedMembers;
    // The regions that the statement is confined to.
    HomeRegions homes = {};
    // Members that get no such statement now since they are suspect; they are used if no other
    // member is eligible.
    std::span<const std::string> withheldMembers = {};
};

struct ZoneContext;

// What this VM knows when it selects. The references must outlive the call.
struct SelectionContext
{
    const FleetView &view;
    const Place &ownPlace;
    // The group's record if its primary may be used now.
    const std::optional<GroupRecord> &usablePrimary;
    const std::map<std::string, MemberObservations, std::less<>> &observations;
    // Returns the VM that would dispatch for a member, or nothing if none can be reached.
    const std::function<std::optional<std::string>(const std::string &member)> &dispatcherOf;
    Instant now{};
    // For the adaptive zone policy; null with the fixed one.
    const ZoneContext *zones = nullptr;
};

// Why a member may not run a statement now.
enum class Exclusion {
    None,
    // The member is outside the home regions of the statement's route or organisation.
    OutsideHomeRegions,
    // The member's zone is evacuated.
    Evacuated,
    // The statement needs the primary, and this member isn't the primary.
    NotPrimary,
    // The member is the primary, and this VM holds no valid lease on it.
    PrimaryNotUsable,
    Leaving,
    // It fails, hangs or is slow, and other members don't.
    Suspect,
    NoDispatcher,
};

// Returns a short text for logs and explanations. Thread-safe.
std::string_view toString(Exclusion exclusion);

struct MemberAssessment
{
    ReadCandidate candidate;
    Exclusion exclusion = Exclusion::None;
    // The VM to send through; empty if there is none.
    std::string dispatcher;
    // With the adaptive zone policy: what the member was balanced by, and of the first member how
    // it was chosen.
    std::optional<ZoneMember> zone;
    ZoneChoice zoneChoice;
};

// Assesses all members of the group: eligible ones first, the best one at the front, then the
// excluded ones. Thread-safe.
std::vector<MemberAssessment> assessMembers(const SelectionRequest &request,
                                            const SelectionContext &context);

// Returns the best eligible member of an assessment, or null if all are excluded. Thread-safe.
const MemberAssessment *bestMember(std::span<const MemberAssessment> members);

// Returns why no member will serve the statement for as long as the group's primary, the
// configuration and the evacuations stay as they are, so that waiting is pointless; nullopt if a
// member is eligible or may become so soon. Thread-safe.
std::optional<Exclusion> lastingExclusion(std::span<const MemberAssessment> members,
                                          bool needsPrimary);

} // namespace gentianplank
