// Who tells a VM what the store says, so that a fleet's calls to the store grow with its regions.
//
// All VMs stand in one order, by hashing. Each follows the first of its zone; that one follows the
// first of its region, which asks the store itself. A VM follows only those that stand before it,
// so that no two follow each other, whatever each believes of the fleet.
#pragma once

#include "gentianplank/vm/fleet_records.h"

#include <optional>
#include <set>

namespace gentianplank {

struct RelayChoice
{
    std::string vm;
    bool isInOwnZone = true;

    bool operator==(const RelayChoice &) const = default;
};

// The VM to follow; nothing for a VM that asks the store itself. VMs in `avoided`, and those that
// leave, are passed over. Thread-safe.
std::optional<RelayChoice> chooseRelay(const std::string &ownName, const Place &ownPlace,
                                       std::span<const VmRecord> vms,
                                       const std::set<std::string> &avoided);

} // namespace gentianplank
