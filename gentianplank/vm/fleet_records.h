// The records that VMs store in the fleet table: VMs and the holder of the promotion duty. Also
// ranks the VMs that may dispatch for a member.
#pragma once

#include "gentianplank/zone/place.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// The fleet table and the keys of its rows.
inline constexpr char FleetTable[] = "gentianplank";
inline constexpr std::string_view VmKeyPrefix = "vm/";
inline constexpr std::string_view GroupKeyPrefix = "group/";
inline constexpr char PromotionDutyKey[] = "duty/promotion";

// A VM that runs the proxy, or that last ran it under this name.
struct VmRecord
{
    std::string name;
    // The address for connections from peers, as "IP:PORT".
    std::string peerAddress;
    Place place;
    // Unique for each start of the process.
    uint64_t incarnation = 0;
    // The VM is shutting down and takes no new work.
    bool isLeaving = false;
    // The bandwidth of the VM's link in Mbit/s; 0 if unknown, as in rows of processes that did not
    // report it.
    uint32_t linkMbps = 0;
    // The store's era that the record was written in; empty in records of processes that don't know
    // eras.
    std::optional<uint64_t> era = std::nullopt;

    bool operator==(const VmRecord &) const = default;
};

// Converts to and from JSON. Decoding fails with the parser's message if a required field is
// missing or has the wrong type.
std::string encodeVmRecord(const VmRecord &record);
tl::expected<VmRecord, std::string> decodeVmRecord(std::string_view json);

// The VM that may promote members, while the store is in the era that the record was written in.
// The fencing token is the version of the row that holds this record, as an ordered number.
struct DutyRecord
{
    std::string holder;
    uint64_t incarnation = 0;
    // As VmRecord::era.
    std::optional<uint64_t> era = std::nullopt;
    // The configuration in force at the holder when it acquired the duty. A stored configuration of
    // a lower revision is one that came back from an older copy of the store.
    uint64_t configurationRevision = 0;
};

// Converts to and from JSON, like the functions for VmRecord.
std::string encodeDutyRecord(const DutyRecord &record);
tl::expected<DutyRecord, std::string> decodeDutyRecord(std::string_view json);

// The number of VMs considered at each distance from a member. If none of that many can be reached,
// their zone or region is assumed to be unreachable.
inline constexpr size_t MaxVmsPerDistance = 8;

// Returns the VMs that may dispatch for a member, in order of preference: closer VMs first, and by
// rendezvous hashing among VMs at the same distance. Leaving VMs are excluded. The pointers point
// into `vms`.
std::vector<const VmRecord *> dispatchersFor(std::string_view memberId, const Place &memberPlace,
                                             std::span<const VmRecord> vms);

} // namespace gentianplank
