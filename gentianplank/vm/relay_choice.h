// Selects the VM that relays rows of the store to a VM, so that the number of store calls grows
// with the regions of a fleet and not with its VMs.
//
// All VMs are ranked in one order, by link speed and then by rendezvous hashing. Each VM follows
// the first of its zone, which follows the first of its region, which reads the store itself. A VM
// follows only VMs ranked before it, so that no cycle forms even if VMs have different views of the
// fleet.
#pragma once

#include "gentianplank/vm/fleet_records.h"

#include <optional>
#include <set>

namespace gentianplank {

// The VM to follow.
struct RelayChoice
{
    std::string vm;
    bool isInOwnZone = true;

    bool operator==(const RelayChoice &) const = default;
};

// Returns the VM to follow; nullopt if this VM reads the store itself. Leaving VMs and VMs in
// `avoided` are skipped. Thread-safe.
std::optional<RelayChoice> chooseRelay(const std::string &ownName, const Place &ownPlace,
                                       std::span<const VmRecord> vms,
                                       const std::set<std::string> &avoided);

} // namespace gentianplank
