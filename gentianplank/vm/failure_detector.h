// Which VMs of the list answer heartbeats, and which one to expel.
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

// How often a VM sends heartbeats to every other of its cell.
inline constexpr Duration HeartbeatInterval = std::chrono::milliseconds(500);

// Without an answer for so long a VM gets no new role.
inline constexpr Duration UnreachableAfter = std::chrono::milliseconds(1300);

// Without an answer for so long a VM is expelled, if a majority misses it too.
inline constexpr Duration ExpelAfter = std::chrono::seconds(3);

struct PeerHealth
{
    // The latest answer; when the peer was first listed, before that.
    Instant answeredAt{};
    // The VMs that the peer missed at its latest answer.
    std::set<std::string, std::less<>> misses;
};

// A plain value of the control thread.
struct FailureDetector
{
    std::map<std::string, PeerHealth, std::less<>> peers;
};

// Starts to watch new VMs of the list and forgets removed ones.
void trackListedVms(FailureDetector &detector, const VmDirectory &list, Instant now);

// Records a peer's answer and the VMs that it misses.
void recordHeartbeatReply(FailureDetector &detector, std::string_view peer, Instant now,
                          std::span<const std::string> misses);

bool isReachable(const FailureDetector &detector, std::string_view peer, Instant now);

// Whether `self` polls the store for its cell: by rendezvous hash among those that answer.
bool isStorePoller(const FailureDetector &detector, const VmDirectory &list, std::string_view self,
                   Instant now);

// Returns the watched VMs that haven't answered for ExpelAfter.
std::vector<std::string> silentVms(const FailureDetector &detector, Instant now);

// Returns the VM that `self` is to expel: one that a majority of the others misses, when `self` is
// the one to do it, by rendezvous hash among those that answer. Others may race: the store decides.
std::optional<std::string> vmToExpel(const FailureDetector &detector, const VmDirectory &list,
                                     std::string_view self, Instant now);

} // namespace gentianplank
