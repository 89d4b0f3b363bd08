// What a VM believes of the fleet, the members and the configuration. Published by the control
// thread, read by the traffic thread.
#pragma once

#include "gentianplank/base/boot_clock.h"
#include "gentianplank/configuration/routing.h"
#include "gentianplank/target/group_record.h"
#include "gentianplank/target/member_entry.h"
#include "gentianplank/vm/fleet_records.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gentianplank {

struct FleetMember
{
    MemberEntry entry;
    Place place;
    // When it was first known to leave; the epoch while it does not.
    BootInstant leavingSince{};
};

// Immutable once published.
struct FleetView
{
    std::shared_ptr<const Routing> routing;
    std::map<std::string, FleetMember, std::less<>> members;
    // Ids of each group's members.
    std::map<std::string, std::vector<std::string>, std::less<>> membersOfGroup;
    std::map<std::string, GroupRecord, std::less<>> groups;
    std::vector<VmRecord> vms;
    // This VM was known before its process started, so its part of the rates is free to use.
    bool wasRegisteredBeforeStart = false;
};

// Up to when a VM's beliefs are known to hold.
struct FleetProofs
{
    BootInstant configuration{};
    BootInstant fleet{};
};

} // namespace gentianplank
