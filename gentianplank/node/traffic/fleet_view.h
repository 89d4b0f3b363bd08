// This VM's snapshot of the configuration, the fleet and the database members. The control thread
// publishes it, the traffic thread reads it.
#pragma once

#include "gentianplank/base/boot_clock.h"
#include "gentianplank/configuration/routing.h"
#include "gentianplank/target/evacuation.h"
#include "gentianplank/target/group_record.h"
#include "gentianplank/target/member_entry.h"
#include "gentianplank/vm/fleet_records.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gentianplank {

// A member with its location.
struct FleetMember
{
    MemberEntry entry;
    Place place;
    // When this VM first saw the member as leaving; default-constructed while it is not leaving.
    BootInstant leavingSince{};
    // Until when the member is cold by its own entry, and when this VM saw that it had started; the
    // clock's epoch if it didn't.
    BootInstant coldByEntryUntil{};
    BootInstant startSeenAt{};
    // Until when the member is cold; the clock's epoch unless cold phases are in force.
    BootInstant coldUntil{};
};

// Immutable once published.
struct FleetView
{
    std::shared_ptr<const Routing> routing;
    std::map<std::string, FleetMember, std::less<>> members;
    // Member ids by group.
    std::map<std::string, std::vector<std::string>, std::less<>> membersOfGroup;
    std::map<std::string, GroupRecord, std::less<>> groups;
    // For records that were not confirmed since the store came back from an older copy: until when
    // they were proven to be current before.
    std::map<std::string, BootInstant, std::less<>> recordsProvenUntil;
    std::vector<VmRecord> vms;
    // Empty unless evacuations are in force.
    EvacuatedZones evacuatedZones;
    // The fleet listed this VM before its current process started, so its rate shares are free to
    // use at once.
    bool wasRegisteredBeforeStart = false;
};

// Times up to which the published configuration and fleet data are proven to be current.
struct FleetProofs
{
    BootInstant configuration{};
    BootInstant fleet{};
};

} // namespace gentianplank
