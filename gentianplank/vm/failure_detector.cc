#include "gentianplank/vm/failure_detector.h"

#include "gentianplank/base/rendezvous.h"

namespace gentianplank {

namespace {

// Returns the reachable VMs including `self`, without the victim.
std::vector<std::string> reachableVms(const FailureDetector &detector, const VmDirectory &list,
                                      std::string_view self, std::string_view victim, Instant now)
{
    std::vector<std::string> names;
    for (const VmInfo &it : list.vms) {
        if (it.name != victim && (it.name == self || isReachable(detector, it.name, now))) {
            names.push_back(it.name);
        }
    }
    return names;
}

// Returns how many witnesses, including `self`, report the victim as silent.
size_t countSilentReports(const FailureDetector &detector, std::span<const std::string> witnesses,
                          std::string_view self, std::string_view victim)
{
    size_t n = 0;
    for (const std::string &it : witnesses) {
        const auto peer = detector.peers.find(it);
        const bool reportsSilent = it == self || (peer != detector.peers.end() &&
                                                  peer->second.silentPeers.contains(victim));
        n += reportsSilent ? 1U : 0U;
    }
    return n;
}

} // namespace

void trackListedVms(FailureDetector &detector, const VmDirectory &list, Instant now)
{
    std::erase_if(detector.peers,
                  [&](const auto &it) { return findVm(list, it.first) == nullptr; });
    for (const VmInfo &it : list.vms) {
        detector.peers.try_emplace(it.name, PeerHealth{now, {}});
    }
}

void recordHeartbeatReply(FailureDetector &detector, std::string_view peer, Instant now,
                          std::span<const std::string> silentPeers)
{
    const auto it = detector.peers.find(peer);
    if (it == detector.peers.end()) {
        return;
    }
    it->second.lastReplyAt = std::max(it->second.lastReplyAt, now);
    it->second.silentPeers = {silentPeers.begin(), silentPeers.end()};
}

bool isReachable(const FailureDetector &detector, std::string_view peer, Instant now)
{
    const auto it = detector.peers.find(peer);
    return it != detector.peers.end() && now - it->second.lastReplyAt < UnreachableAfter;
}

bool isStorePoller(const FailureDetector &detector, const VmDirectory &list, std::string_view self,
                   Instant now)
{
    return pickByRendezvous("poll", reachableVms(detector, list, self, {}, now)) == self;
}

std::vector<std::string> silentVms(const FailureDetector &detector, Instant now)
{
    std::vector<std::string> names;
    for (const auto &[name, health] : detector.peers) {
        if (now - health.lastReplyAt >= ExpelAfter) {
            names.push_back(name);
        }
    }
    return names;
}

std::optional<std::string> vmToExpel(const FailureDetector &detector, const VmDirectory &list,
                                     std::string_view self, Instant now)
{
    for (const std::string &it : silentVms(detector, now)) {
        if (it == self) {
            continue;
        }
        const auto reachable = reachableVms(detector, list, self, it, now);
        const size_t majority = majorityOf(withoutVm(list, it));
        if (countSilentReports(detector, reachable, self, it) >= majority &&
            pickByRendezvous("expel/" + it, reachable) == self) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace gentianplank
