// The ranked dispatcher VMs of each member, cached per fleet view so that statements do not rank
// the whole fleet.
//
//     table.update(view);
//     for (const VmRecord *vm : table.dispatchersOf("i-7")) { ... }
#pragma once

#include "gentianplank/node/traffic/fleet_view.h"

#include <span>
#include <unordered_map>

namespace gentianplank {

// Computes each list on first use. Not thread-safe.
class DispatchTable
{
public:
    // Replaces the fleet view and clears the cached lists.
    void update(std::shared_ptr<const FleetView> view);

    // Returns the VMs that may dispatch for the member, most preferred first; empty for an unknown
    // member. Valid until the next update().
    std::span<const VmRecord *const> dispatchersOf(const std::string &member);

private:
    std::shared_ptr<const FleetView> m_view;
    std::unordered_map<std::string, std::vector<const VmRecord *>> m_ranked;
};

} // namespace gentianplank
