// Detects which listed VMs answer heartbeats, and selects a VM to expel.
//
//     FailureDetector detector;
//     recordHeartbeatReply(detector, "vm-2", now, reply.silent);
//     const auto victim = vmToExpel(detector, list, "vm-1", now);
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/vm/vm_directory.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// How often a VM sends a heartbeat to every other VM of its membership partition.
inline constexpr Duration HeartbeatInterval = std::chrono::milliseconds(500);

// A VM that hasn't replied for this long gets no new role.
inline constexpr Duration UnreachableAfter = std::chrono::milliseconds(1300);

// A VM that hasn't replied for this long is expelled, if a majority doesn't hear from it either.
inline constexpr Duration ExpelAfter = std::chrono::seconds(3);

struct PeerHealth
{
    // When the peer last replied; before its first reply, when it was first listed.
    Instant lastReplyAt{};
    // The VMs that the peer reported as silent in its latest reply.
    std::set<std::string, std::less<>> silentPeers;
};

// A plain value of the control thread; it does no locking.
struct FailureDetector
{
    std::map<std::string, PeerHealth, std::less<>> peers;
};

// Starts tracking the VMs that are new in the list and stops tracking those that were removed.
void trackListedVms(FailureDetector &detector, const VmDirectory &list, Instant now);

// Records a peer's reply and the VMs that it reports as silent. Ignores peers that aren't tracked.
void recordHeartbeatReply(FailureDetector &detector, std::string_view peer, Instant now,
                          std::span<const std::string> silentPeers);

// Whether the peer replied within UnreachableAfter; false for a peer that isn't tracked.
bool isReachable(const FailureDetector &detector, std::string_view peer, Instant now);

// Whether `self` polls the store for its membership partition: it is selected by rendezvous hashing
// among the reachable VMs.
bool isStorePoller(const FailureDetector &detector, const VmDirectory &list, std::string_view self,
                   Instant now);

// Returns the tracked VMs that haven't replied for ExpelAfter.
std::vector<std::string> silentVms(const FailureDetector &detector, Instant now);

// Returns the VM that `self` should expel: one that a majority of the others reports as silent, if
// rendezvous hashing among the reachable VMs selects `self` to expel it. Several VMs may select
// themselves; the store's conditional write decides.
std::optional<std::string> vmToExpel(const FailureDetector &detector, const VmDirectory &list,
                                     std::string_view self, Instant now);

} // namespace gentianplank
