// Decides from the members' answers how a change of a group's primary goes on.
//
//     SelectionInput input{record, reports};
//     const Selection selection = selectPrimary(input);
//     if (selection.step == SelectionStep::Promote) { ... }
#pragma once

#include "gentianplank/platform/line_codec.h"
#include "gentianplank/target/group_record.h"
#include "gentianplank/target/member_entry.h"

#include <optional>
#include <set>
#include <span>
#include <string>

namespace gentianplank {

// What a status query found out about a member.
struct MemberReport
{
    MemberEntry entry;
    // The member accepted the connection, even if it was too busy to report its status.
    bool isReachable = false;
    std::optional<platform::MemberStatus> status;
};

struct SelectionInput
{
    // The group's record, in the changing phase.
    const GroupRecord &record;
    // One report for each queried member, in the order in which they came. Of several equally good
    // members the first is selected.
    std::span<const MemberReport> reports;
    // The replicas of the group that were listed when the members were queried, and how many of
    // them receive a commit before it is acknowledged.
    size_t listedReplicas = 0;
    uint32_t synchronousReplicas = 0;
    // Members that must not lead: refused by the platform, or in an evacuated zone.
    std::set<std::string> excludedMembers{};
    // The change doesn't wait longer for a replica that has everything the old primary has.
    bool hasCatchUpExpired = false;
    // Every promotion that was requested has taken effect, or never will.
    bool arePromotionsSettled = false;
    // The change doesn't wait longer for members that may have been promoted and don't answer.
    bool hasPromotedWaitExpired = false;
    // The member whose promotion was accepted last; empty if there is none.
    std::string lastAccepted{};
};

enum class SelectionStep {
    // The member is the primary of the newest term that any member knows of: record it.
    Adopt,
    // A member may lead the newest term, or be about to, and hasn't reported it: query again
    // shortly.
    AwaitPrimary,
    Promote,
    // No member can take over or may have been promoted, and the old primary still serves: record
    // it again.
    KeepOldPrimary,
    // The best replica lacks positions of the old primary: query again shortly.
    AwaitCatchUp,
    // No member can take over: query again.
    QueryAgain,
};

struct Selection
{
    SelectionStep step = SelectionStep::QueryAgain;
    // The selected member; null if there is none. Points into SelectionInput::reports.
    const MemberReport *member = nullptr;
};

// Decides what a change does after its members were queried. A promotion replaces no primary that
// can't reach the new one, so several members may lead; only the newest term counts. Thread-safe.
Selection selectPrimary(const SelectionInput &input);

// Whether the promotion of the member may have been requested in the record's change. Thread-safe.
bool mayHaveBeenPromoted(const GroupRecord &record, std::string_view member);

// Adds the member to those whose promotion may have been requested. Requests of the same member in
// a row are listed once. Thread-safe.
void addPromotion(GroupRecord &record, const std::string &member);

// Returns the member's report, or null if there is none. Thread-safe.
const MemberReport *findReport(std::span<const MemberReport> reports, std::string_view member);

const char *toString(SelectionStep step);
// One word for each member: its id, its role, term and position, or that it is busy or silent.
std::string toString(std::span<const MemberReport> reports);

} // namespace gentianplank
