#include "gentianplank/node/traffic/cold_role.h"

namespace gentianplank {

namespace {

// Without older fleets, a role seems to be held for less long than it was, which is safe.
constexpr size_t MaxRememberedFleets = 32;

} // namespace

void addFleet(RecentFleets &recent, std::shared_ptr<const FleetView> view, BootInstant now,
              Duration window)
{
    auto &entries = recent.entries;
    if (entries.empty() || entries.back().view->vms != view->vms) {
        entries.push_back({now, std::move(view)});
    }
    while (entries.size() > MaxRememberedFleets ||
           (entries.size() > 1 && now - entries[1].since > window)) {
        entries.pop_front();
    }
}

std::optional<BootInstant> firstDispatcherSince(const RecentFleets &recent,
                                                const std::string &member, const Place &place,
                                                const std::string &ownName)
{
    std::optional<BootInstant> since;
    for (auto it = recent.entries.rbegin(); it != recent.entries.rend(); ++it) {
        const auto ranked = dispatchersFor(member, place, it->view->vms);
        if (ranked.empty() || ranked.front()->name != ownName) {
            break;
        }
        since = it->since;
    }
    return since;
}

} // namespace gentianplank
