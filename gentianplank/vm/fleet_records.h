// What entry VMs store about themselves, and who dispatches for which member.
#pragma once

#include "gentianplank/zone/place.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// The project's table and the keys of its rows.
inline constexpr char FleetTable[] = "gentianplank";
inline constexpr std::string_view VmKeyPrefix = "vm/";
inline constexpr std::string_view GroupKeyPrefix = "group/";
inline constexpr char PromotionDutyKey[] = "duty/promotion";

// A VM that runs the proxy, or ran it last under this name.
struct VmRecord
{
    std::string name;
    // Where its peers reach it, IP:PORT.
    std::string peerAddress;
    Place place;
    // Differs for each start of the process.
    uint64_t incarnation = 0;
    // It stops; it takes no new work.
    bool isLeaving = false;
    // The bandwidth of its own link; 0 in rows of processes that did not tell it.
    uint32_t linkMbps = 0;

    bool operator==(const VmRecord &) const = default;
};

std::string encodeVmRecord(const VmRecord &record);
tl::expected<VmRecord, std::string> decodeVmRecord(std::string_view json);

// Who may promote. The fencing token is the version of the row that holds this.
struct DutyRecord
{
    std::string holder;
    uint64_t incarnation = 0;
};

std::string encodeDutyRecord(const DutyRecord &record);
tl::expected<DutyRecord, std::string> decodeDutyRecord(std::string_view json);

// VMs at one distance from a member that are considered; if none of so many can be reached, their
// zone or region can't.
inline constexpr size_t MaxVmsPerDistance = 8;

// Returns the VMs that may dispatch for a member, the one that should first: near VMs before far
// ones, and by rendezvous hashing among those equally near. Leaving VMs are left out. The pointers
// point into `vms`.
std::vector<const VmRecord *> dispatchersFor(std::string_view memberId, const Place &memberPlace,
                                             std::span<const VmRecord> vms);

} // namespace gentianplank
