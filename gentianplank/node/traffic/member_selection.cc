#include "gentianplank/node/traffic/member_selection.h"

#include "gentianplank/node/traffic/zone_routing.h"

#include <algorithm>
#include <iterator>

namespace gentianplank {

namespace {

// Reported queueing delays older than this are ignored.
constexpr Duration LoadReportLifetime = std::chrono::milliseconds(1000);

Exclusion exclusionOf(const SelectionRequest &request, const SelectionContext &context,
                      const FleetMember &member, bool isPrimary)
{
    if (!permits(request.homes, member.place.region)) {
        return Exclusion::OutsideHomeRegions;
    }
    if (context.view.evacuatedZones.count(member.place.zone) != 0) {
        return Exclusion::Evacuated;
    }
    if (request.needsPrimary && !isPrimary) {
        return Exclusion::NotPrimary;
    }
    if (isPrimary && !context.usablePrimary) {
        return Exclusion::PrimaryNotUsable;
    }
    // A leaving primary is used as long as its lease allows by statements that only it can run.
    if (member.leavingSince != BootInstant{} && !request.needsPrimary) {
        return Exclusion::Leaving;
    }
    return Exclusion::None;
}

// Returns the time between the requests that a cold member accepts.
Duration coldInterval(const FleetView &view, const FleetMember &member)
{
    if (member.coldUntil == BootInstant{} || bootNow() >= member.coldUntil || !view.routing) {
        return Duration::zero();
    }
    const GroupLimits *group = view.routing->group(member.entry.group);
    return group == nullptr || group->coldPerSecond <= 0
               ? Duration::zero()
               : std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(1 / group->coldPerSecond));
}

ReadCandidate candidateOf(const SelectionRequest &request, const SelectionContext &context,
                          const FleetMember &member, bool isPrimary)
{
    static const MemberObservations none;
    const auto it = context.observations.find(member.entry.id);
    const MemberObservations &observations = it == context.observations.end() ? none : it->second;
    ReadCandidate candidate;
    candidate.id = member.entry.id;
    candidate.distance = distanceBetween(member.place, context.ownPlace);
    candidate.isPrimary = isPrimary;
    candidate.expectedWait = context.now - observations.loadReportedAt < LoadReportLifetime
                                 ? observations.expectedWait
                                 : Duration::zero();
    if (observations.loadReportedAt != Instant{}) {
        candidate.reportAge = context.now - observations.loadReportedAt;
    }
    candidate.inFlight = observations.inFlight;
    candidate.slots = member.entry.slots;
    candidate.isBehind = context.now < observations.laggingUntil || request.followsRecentCommit;
    candidate.coldInterval = coldInterval(context.view, member);
    candidate.isAvoided = request.failedMembers.count(member.entry.id) != 0;
    return candidate;
}

} // namespace

std::string_view toString(Exclusion exclusion)
{
    switch (exclusion) {
    case Exclusion::None:
        return "eligible";
    case Exclusion::OutsideHomeRegions:
        return "outside the home regions";
    case Exclusion::Evacuated:
        return "in an evacuated zone";
    case Exclusion::NotPrimary:
        return "not the primary";
    case Exclusion::PrimaryNotUsable:
        return "no valid lease on the primary";
    case Exclusion::Leaving:
        return "leaving";
    case Exclusion::Suspect:
        return "suspect: fails statements that other members don't";
    case Exclusion::NoDispatcher:
        return "no dispatcher can reach it";
    }
    return "";
}

std::vector<MemberAssessment> assessMembers(const SelectionRequest &request,
                                            const SelectionContext &context)
{
    const auto ids = context.view.membersOfGroup.find(request.group);
    if (ids == context.view.membersOfGroup.end()) {
        return {};
    }
    const auto record = context.view.groups.find(request.group);
    std::vector<ReadCandidate> eligible;
    std::vector<ReadCandidate> withheld;
    std::map<std::string_view, std::string> dispatchers;
    std::vector<MemberAssessment> excluded;
    for (const std::string &id : ids->second) {
        const FleetMember &member = context.view.members.at(id);
        const bool isPrimary = record != context.view.groups.end() && record->second.primary == id;
        const Exclusion exclusion = exclusionOf(request, context, member, isPrimary);
        auto vm = exclusion == Exclusion::None ? context.dispatcherOf(id) : std::nullopt;
        ReadCandidate candidate = candidateOf(request, context, member, isPrimary);
        if (vm) {
            dispatchers[id] = std::move(*vm);
            const auto &suspects = request.withheldMembers;
            const bool isWithheld =
                std::find(suspects.begin(), suspects.end(), id) != suspects.end();
            (isWithheld ? withheld : eligible).push_back(std::move(candidate));
        } else {
            excluded.push_back({candidate,
                                exclusion == Exclusion::None ? Exclusion::NoDispatcher : exclusion,
                                "",
                                {},
                                {}});
        }
    }
    if (eligible.empty()) {
        eligible = std::move(withheld);
    } else {
        for (ReadCandidate &it : withheld) {
            excluded.push_back({std::move(it), Exclusion::Suspect, "", {}, {}});
        }
    }
    std::vector<MemberAssessment> members;
    members.reserve(ids->second.size());
    for (const ReadCandidate *it : rankReaders(eligible)) {
        members.push_back({*it, Exclusion::None, std::move(dispatchers[it->id]), {}, {}});
    }
    if (context.zones != nullptr && !request.needsPrimary) {
        applyZoneBalance(members, context);
    }
    std::move(excluded.begin(), excluded.end(), std::back_inserter(members));
    return members;
}

const MemberAssessment *bestMember(std::span<const MemberAssessment> members)
{
    const bool hasEligible = !members.empty() && members.front().exclusion == Exclusion::None;
    return hasEligible ? &members.front() : nullptr;
}

std::optional<Exclusion> lastingExclusion(std::span<const MemberAssessment> members,
                                          bool needsPrimary)
{
    if (members.empty()) {
        return std::nullopt;
    }
    bool excludesAll = true;
    for (const MemberAssessment &it : members) {
        const bool isOutside = it.exclusion == Exclusion::OutsideHomeRegions;
        if (isOutside && needsPrimary && it.candidate.isPrimary) {
            return it.exclusion;
        }
        // The group of an evacuated primary gets another one, unless all members are evacuated.
        excludesAll = excludesAll && (isOutside || it.exclusion == Exclusion::Evacuated);
    }
    if (excludesAll) {
        return members.front().exclusion;
    }
    return std::nullopt;
}

} // namespace gentianplank
