// The VMs that may still use a group's old primary while it is replaced.
#pragma once

#include "gentianplank/vm/fleet_records.h"

#include <map>
#include <set>
#include <span>
#include <string>

namespace gentianplank {

struct PrimaryReleases
{
    // The VMs that may use the primary, with their incarnations.
    std::map<std::string, uint64_t> awaitedVms;
    // The VMs that have confirmed that they don't.
    std::set<std::string> releasedBy;
};

// Whether every awaited VM has released the primary. `vms` are the VMs as listed now: one that was
// restarted since has read the record and holds no lease under an earlier epoch. Thread-safe.
bool isReleasedByAll(const PrimaryReleases &releases, std::span<const VmRecord> vms);

} // namespace gentianplank
