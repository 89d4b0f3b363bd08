// Which VMs may dispatch for each member, ranked once for each view of the fleet and not for each
// statement.
//
//     table.update(view);
//     for (const VmRecord *vm : table.dispatchersOf("i-7")) { ... }
#pragma once

#include "gentianplank/node/traffic/fleet_view.h"

#include <span>
#include <unordered_map>

namespace gentianplank {

// Holds lists only for members that were asked for. Not thread-safe.
class DispatchTable
{
public:
    // Uses `view` from now on.
    void update(std::shared_ptr<const FleetView> view);

    // The VMs for a member, the one that should dispatch first; none for an unknown member. Valid
    // until the next update.
    std::span<const VmRecord *const> dispatchersOf(const std::string &member);

private:
    std::shared_ptr<const FleetView> m_view;
    std::unordered_map<std::string, std::vector<const VmRecord *>> m_ranked;
};

} // namespace gentianplank
