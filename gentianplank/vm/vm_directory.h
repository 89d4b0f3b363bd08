// The VMs of the fleet as an immutable value, and the VMs that dispatch for or watch a database
// group.
//
//     const std::string vm = dispatcherOf(directory, "ledger-1", "gulf-maine");
#pragma once

#include "gentianplank/zone/place.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// One VM of the committed member list.
struct VmInfo
{
    std::string name;
    uint64_t incarnation = 0;
    // The address for connections from other VMs, as "IP:port".
    std::string address;
    Place place;
    bool leaving = false;
    // Whether the local VM has recently heard from it. Not part of the committed list.
    bool reachable = true;
};

struct VmDirectory
{
    uint64_t revision = 0;
    // The newest configuration revision that was stored before this list. A VM applies the list
    // only after that configuration.
    uint64_t configurationFloor = 0;
    // The number of VMs in the predecessor of this list.
    size_t predecessorSize = 0;
    std::vector<VmInfo> vms;
};

// Returns the VM with this name, or nullptr. The pointer points into `directory`.
const VmInfo *findVm(const VmDirectory &directory, std::string_view name);

// Whether this incarnation is listed.
bool isListed(const VmDirectory &directory, std::string_view name, uint64_t incarnation);

// Returns the number of VMs that form a majority of the list; 0 for an empty list.
size_t majorityOf(const VmDirectory &directory);

// Return the list with a VM added, replaced by name, or removed. The revision does not change.
VmDirectory withVm(VmDirectory directory, const VmInfo &vm);
VmDirectory withoutVm(VmDirectory directory, std::string_view name);

// Returns the VM that dispatches the group's statements for the members of a region: the first by
// rendezvous hashing among the region's VMs that are reachable and not leaving, or among those of
// all regions if that one has none. Empty if no VM qualifies. The role is soft state: no guarantee
// depends on a single VM holding it at a time.
std::string dispatcherOf(const VmDirectory &directory, std::string_view group,
                         std::string_view region);

// Returns up to `n` VMs that watch a group, in order of preference, from different zones as far as
// possible.
std::vector<std::string> watchersOf(const VmDirectory &directory, std::string_view group, size_t n);

} // namespace gentianplank
