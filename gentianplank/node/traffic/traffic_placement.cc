#include "gentianplank/node/traffic/traffic_state.h"

#include <algorithm>

namespace gentianplank {

SendPermission Traffic::State::sendPermission(const std::string &zone, bool isOpenTransaction) const
{
    return gentianplank::sendPermission(view->evacuatedZones, zone, settings.evacuationLimit,
                                        proofs.configuration, isOpenTransaction, bootNow());
}

// Remembers the fleet while a group has cold phases.
void Traffic::State::updateColdRoles()
{
    coldRoles.clear();
    const bool isNeeded = settings.coldOverage > 0 && view->routing &&
                          std::any_of(view->routing->groups.begin(), view->routing->groups.end(),
                                      [](const auto &it) { return hasColdPhase(it.second); });
    if (isNeeded) {
        addFleet(recentFleets, view, bootNow(), times.rateIncreaseDelay);
    } else {
        recentFleets.entries.clear();
    }
}

ColdPhase Traffic::State::coldPhase(const std::string &member)
{
    ColdPhase phase;
    const auto it = view->members.find(member);
    const BootInstant now = bootNow();
    if (it == view->members.end() || now >= it->second.coldUntil) {
        return phase;
    }
    phase.isCold = true;
    const GroupLimits *group =
        view->routing ? view->routing->group(it->second.entry.group) : nullptr;
    // A VM that held the role by an older view has lost this proof before another one uses the
    // allowance.
    if (group == nullptr || now - proofs.fleet >= times.configurationProofLifetime) {
        return phase;
    }
    phase.limit = coldLimit(group->coldPerSecond, settings.coldOverage, settings.coldSlack);
    auto role = coldRoles.find(member);
    if (role == coldRoles.end()) {
        role = coldRoles
                   .emplace(member, firstDispatcherSince(recentFleets, member, it->second.place,
                                                         settings.name))
                   .first;
    }
    if (role->second) {
        phase.usableFrom = *role->second + times.rateIncreaseDelay;
    }
    return phase;
}

} // namespace gentianplank
