#include "gentianplank/node/control/control_state.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/platform/names.h"
#include "gentianplank/target/cold_allowance.h"

#include <algorithm>

namespace gentianplank {

// Applies the operator's rows that evacuate zones. They are published at once, since the proof that
// follows covers them.
void Control::State::applyEvacuations(const std::vector<StoredRow> &rows)
{
    const BootInstant now = bootNow();
    bool hasChanged = false;
    for (const StoredRow &row : rows) {
        if (!row.key.starts_with(platform::EvacuationKeyPrefix)) {
            continue;
        }
        const std::string zone = row.key.substr(platform::EvacuationKeyPrefix.size());
        const bool isEffective = applyEvacuationRow(evacuations, zone, row.erased, now);
        logEvent(row.erased ? "evacuation.row_erased" : "evacuation.row",
                 {{"zone", zone},
                  {"in_force", evacuations.inForce.count(zone) != 0},
                  {"row_version", toString(row.version)}});
        hasChanged = hasChanged || isEffective;
    }
    if (hasChanged) {
        publish();
    }
}

// The operator's rows are proven, so evacuations that are not among them are over.
void Control::State::endLostEvacuations()
{
    const auto ended = proveEvacuations(evacuations, bootNow());
    for (const std::string &zone : ended) {
        logEvent("evacuation.lost", {{"zone", zone}});
    }
    if (!ended.empty()) {
        publish();
    }
}

bool Control::State::isEvacuated(const FleetMember &member) const
{
    return settings.evacuationLimit > Duration::zero() &&
           evacuations.inForce.count(member.place.zone) != 0;
}

// Whether a member besides the primary may lead the group.
bool Control::State::hasOtherCandidate(const std::string &group, const std::string &primary) const
{
    return std::any_of(members.begin(), members.end(), [&](const auto &it) {
        return it.second.entry.group == group && it.first != primary &&
               !it.second.entry.isLeaving && !isEvacuated(it.second);
    });
}

// Notes the cold phases that a member's entry shows. `known` is what was known of the member, if
// anything: one that appears after the table was first read has just started.
void Control::State::noteColdPhases(FleetMember &member, const FleetMember *known) const
{
    const BootInstant now = bootNow();
    if (member.entry.coldRemaining > Duration::zero()) {
        member.coldByEntryUntil = now + member.entry.coldRemaining;
    }
    const bool hasStarted = known == nullptr ? membersProvenAt != BootInstant{}
                                             : known->entry.startedAtMs != member.entry.startedAtMs;
    member.startSeenAt = hasStarted ? now : known == nullptr ? BootInstant{} : known->startSeenAt;
}

// Sets until when the members are cold, as the configuration and the settings have it.
void Control::State::setColdPhases(std::map<std::string, FleetMember, std::less<>> &listed) const
{
    if (!routing || settings.coldOverage <= 0) {
        return;
    }
    for (auto &[id, member] : listed) {
        const GroupLimits *group = routing->group(member.entry.group);
        if (group == nullptr || !hasColdPhase(*group)) {
            continue;
        }
        const auto ended = evacuations.endedAt.find(member.place.zone);
        member.coldUntil =
            coldUntil({member.coldByEntryUntil, member.startSeenAt,
                       ended == evacuations.endedAt.end() ? BootInstant{} : ended->second},
                      *group);
    }
}

} // namespace gentianplank
