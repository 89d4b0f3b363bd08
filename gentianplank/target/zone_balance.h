// Decides which share of a group's reads leaves the entry VM's zone, or its region, and where it
// goes, from what this VM has measured.
//
// The group's members are divided into classes by distance and role, in the order of the constants
// of member_choice. Each class has a share, the weight of its members in the choice. Shares move
// gradually from the most expensive class in use to the cheapest one. A read takes the better one
// of two members that are drawn by weight and by its seed, so that VMs which see the same load
// don't all send it to the same member.
//
//     const auto choice = chooseMember(balance, members, request);
//     if (choice.isUrgent) { balance.urgentAt = now; }
//     adjustShares(balance, members, isLinkExhausted, now);
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/zone/place.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace gentianplank {

enum class ZonePolicy {
    // Constant costs by distance.
    Fixed,
    // Shares that follow the measurements.
    Adaptive,
};

// Returns the policy of that name, or nothing if there is none.
std::optional<ZonePolicy> parseZonePolicy(std::string_view name);

// Reports older than this have half their weight, and those older than MaxReportAge none.
inline constexpr Duration FullWeightReportAge = std::chrono::milliseconds(300);
inline constexpr Duration MaxReportAge = std::chrono::seconds(1);
// Limits of the change of the shares in one interval. Reads return more slowly than they leave, so
// that a member that was just relieved isn't loaded again at once.
inline constexpr Duration ShareInterval = std::chrono::milliseconds(250);
inline constexpr double MaxShareOutwards = 0.1;
inline constexpr double MaxShareBack = 0.05;

inline constexpr size_t DistanceCount = 3;

// Smoothed round trips between VMs by distance. Plain value.
struct PathTimes
{
    std::array<std::optional<Duration>, DistanceCount> measured;
};

// Adds the part of a statement's time that it spent neither at the member nor waiting for a slot.
void recordPathTime(PathTimes &paths, Distance distance, Duration sample);

// Returns the measured round trip, or a constant if there is none.
Duration pathTime(const PathTimes &paths, Distance distance);

// The member classes, from the cheapest to the most expensive by the constants of member_choice.
enum class MemberClass {
    ZoneReplica,
    RegionReplica,
    ZonePrimary,
    RegionPrimary,
    OtherRegionReplica,
    OtherRegionPrimary,
};
inline constexpr size_t MemberClassCount = 6;

MemberClass memberClassOf(Distance distance, bool isPrimary);
Distance distanceOf(MemberClass memberClass);
std::string_view toString(MemberClass memberClass);

// An eligible member as known to the entry VM.
struct ZoneMember
{
    // The farther one of the two hops, to the dispatcher and from there to the member.
    Distance distance = Distance::SameZone;
    bool isPrimary = false;
    // Round trip over both hops.
    Duration path{0};
    // Wait for a slot as last reported, and the age of the report; Duration::max() without one.
    Duration reportedWait{0};
    Duration reportAge = Duration::max();
    // Statements of this VM under way at the member, and how many it executes concurrently.
    uint32_t inFlight = 0;
    uint32_t slots = 1;
};

// Returns the reported wait, discounted by the age of the report.
Duration discountedWait(const ZoneMember &member);

// Returns the expected time until the member begins to execute a read, and the path back.
Duration expectedTime(const ZoneMember &member);

// Weights by class; they sum to 1 over the classes that have members.
using ClassShares = std::array<double, MemberClassCount>;

// One VM's balance of one group. Plain value.
struct ZoneBalance
{
    // For reads that are expected to meet their objective, and for those that aren't. The traffic
    // between regions is billed, so the former only leave the region for a gain that exceeds
    // the cost of it.
    ClassShares shares{};
    ClassShares urgentShares{};
    Instant adjustedAt{};
    // When a read was last expected to miss its objective.
    Instant urgentAt{};
};

struct ZoneRequest
{
    // A hash of the request id: equal ids choose equally on every VM.
    uint64_t seed = 0;
    // Until the read's latency objective, and until its deadline.
    Duration toObjective = Duration::max();
    Duration toDeadline = Duration::max();
    // The VM's budget of the link between regions is used up.
    bool isLinkExhausted = false;
};

struct ZoneChoice
{
    // Index of the chosen member; nothing if there are no recent reports, so that the constants
    // decide.
    std::optional<size_t> member;
    bool isUrgent = false;
    // Members in another region were left out as the link's budget is used up.
    bool isKeptInRegion = false;
};

// Chooses one of the members for a read. Deterministic and thread-safe.
ZoneChoice chooseMember(const ZoneBalance &balance, std::span<const ZoneMember> members,
                        const ZoneRequest &request);

// Moves the shares by what the members report. Call it with each read; it does nothing within the
// interval since the last change. Returns whether shares have changed.
bool adjustShares(ZoneBalance &balance, std::span<const ZoneMember> members, bool isLinkExhausted,
                  Instant now);

// Returns the shares that apply to the members: shares of classes without a member count for the
// first class that has one.
ClassShares effectiveShares(const ClassShares &shares, std::span<const ZoneMember> members);

// Returns a hash of a request id for ZoneRequest::seed. The same on all VMs.
uint64_t requestSeed(std::string_view requestId);

} // namespace gentianplank
