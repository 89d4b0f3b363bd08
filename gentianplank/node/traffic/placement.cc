#include "gentianplank/node/traffic/placement.h"

#include <algorithm>

namespace gentianplank {

namespace {

// Until an operator or a change of primary moves something.
constexpr Duration ExcludedRetryAfter = std::chrono::seconds(1);

} // namespace

HomeRegions homesOf(const FleetView &view, const RouteOrigin &origin, std::string_view organisation)
{
    return view.routing
               ? homeRegionsOf(*view.routing, origin.database, origin.homeRegions, organisation)
               : commonHomeRegions(origin.homeRegions, {});
}

std::optional<std::string>
selectDispatcher(std::span<const VmRecord *const> ranked, const HomeRegions &homes,
                 const std::string &ownName, bool isMemberCold,
                 const std::function<bool(const std::string &vm)> &isUsable)
{
    if (isMemberCold) {
        ranked = ranked.subspan(0, std::min<size_t>(ranked.size(), 1));
    }
    for (const VmRecord *vm : ranked) {
        const bool mayReach = vm->name == ownName || permits(homes, vm->place.region);
        if (mayReach && isUsable(vm->name)) {
            return vm->name;
        }
    }
    if (!isMemberCold && !homes.isUnrestricted && !ownName.empty() && isUsable(ownName)) {
        return ownName;
    }
    return std::nullopt;
}

std::optional<StatementOutcome> lastingRefusal(std::span<const MemberAssessment> members,
                                               bool needsPrimary)
{
    const auto exclusion = lastingExclusion(members, needsPrimary);
    if (!exclusion) {
        return std::nullopt;
    }
    const std::string what = needsPrimary ? "the group's primary is " : "the group's members are ";
    return notRun(ErrorCode::Busy, what + std::string(toString(*exclusion)), ExcludedRetryAfter);
}

bool isCold(const FleetView &view, const std::string &member, BootInstant now)
{
    const auto it = view.members.find(member);
    return it != view.members.end() && now < it->second.coldUntil;
}

bool mayContinueTransaction(const FleetView &view, const HomeRegions &homes,
                            const std::string &member, const std::string &vm,
                            const std::string &ownName)
{
    if (homes.isUnrestricted) {
        return true;
    }
    const auto it = view.members.find(member);
    const auto dispatcher =
        std::find_if(view.vms.begin(), view.vms.end(),
                     [&](const VmRecord &candidate) { return candidate.name == vm; });
    const bool mayReachVm =
        vm == ownName || (dispatcher != view.vms.end() && permits(homes, dispatcher->place.region));
    return mayReachVm && it != view.members.end() && permits(homes, it->second.place.region);
}

} // namespace gentianplank
