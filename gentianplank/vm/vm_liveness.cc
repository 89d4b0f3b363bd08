#include "gentianplank/vm/vm_liveness.h"

#include <algorithm>

namespace gentianplank {

namespace {

// Minimum time between two probes of a VM, whether it answered or not.
constexpr Duration ProbeInterval = std::chrono::seconds(1);
// A VM whose last probe is unanswered for longer than this is silent.
constexpr Duration ProbeTimeout = std::chrono::milliseconds(700);
// A VM is considered gone only after this many unanswered probes, since a suspension of the prober
// itself also looks like silence.
constexpr uint32_t MinUnansweredProbes = 5;

} // namespace

std::vector<std::string> vmsToProbe(VmLiveness &liveness, std::span<const std::string> names,
                                    BootInstant now)
{
    std::erase_if(liveness.vms, [&](const auto &it) {
        return std::find(names.begin(), names.end(), it.first) == names.end();
    });
    std::vector<std::string> probed;
    const auto probe = [&](const std::string &name) {
        VmProbeState &vm = liveness.vms[name];
        if (now - vm.probedAt < ProbeInterval) {
            return;
        }
        vm.probedAt = now;
        if (vm.unansweredProbes++ == 0) {
            vm.silentSince = now;
        }
        probed.push_back(name);
    };
    for (const std::string &name : names) {
        const auto it = liveness.vms.find(name);
        if (it != liveness.vms.end() && it->second.unansweredProbes > 0 &&
            now - it->second.probedAt > ProbeTimeout) {
            probe(name);
        }
    }
    // The next VM in round-robin order.
    if (!names.empty()) {
        auto next = std::upper_bound(names.begin(), names.end(), liveness.lastProbed);
        if (next == names.end()) {
            next = names.begin();
        }
        liveness.lastProbed = *next;
        probe(*next);
    }
    return probed;
}

void recordVmAlive(VmLiveness &liveness, const std::string &name)
{
    const auto it = liveness.vms.find(name);
    if (it != liveness.vms.end()) {
        it->second.unansweredProbes = 0;
    }
}

std::vector<std::string> removeUnresponsiveVms(VmLiveness &liveness, BootInstant now)
{
    std::vector<std::string> unresponsive;
    std::erase_if(liveness.vms, [&](const auto &it) {
        const VmProbeState &vm = it.second;
        if (vm.unansweredProbes < MinUnansweredProbes ||
            now - vm.silentSince < UnresponsiveTimeout) {
            return false;
        }
        unresponsive.push_back(it.first);
        return true;
    });
    return unresponsive;
}

} // namespace gentianplank
