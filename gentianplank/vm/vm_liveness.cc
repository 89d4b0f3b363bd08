#include "gentianplank/vm/vm_liveness.h"

#include <algorithm>

namespace gentianplank {

namespace {

// A VM is asked again after this, whether it answered or not.
constexpr Duration AskInterval = std::chrono::seconds(1);
// An answer takes less than this; a VM asked so long ago without one is silent.
constexpr Duration AnswerTime = std::chrono::milliseconds(700);
// So many questions must have gone unanswered: a suspension of the asker looks like one.
constexpr uint32_t LeastUnanswered = 5;

} // namespace

std::vector<std::string> vmsToProbe(VmLiveness &absence, std::span<const std::string> names,
                                    BootInstant now)
{
    std::erase_if(absence.vms, [&](const auto &it) {
        return std::find(names.begin(), names.end(), it.first) == names.end();
    });
    std::vector<std::string> asked;
    const auto ask = [&](const std::string &name) {
        VmPresence &vm = absence.vms[name];
        if (now - vm.askedAt < AskInterval) {
            return;
        }
        vm.askedAt = now;
        if (vm.unanswered++ == 0) {
            vm.silentSince = now;
        }
        asked.push_back(name);
    };
    for (const std::string &name : names) {
        const auto it = absence.vms.find(name);
        if (it != absence.vms.end() && it->second.unanswered > 0 &&
            now - it->second.askedAt > AnswerTime) {
            ask(name);
        }
    }
    // The next one in turn.
    if (!names.empty()) {
        auto next = std::upper_bound(names.begin(), names.end(), absence.last);
        if (next == names.end()) {
            next = names.begin();
        }
        absence.last = *next;
        ask(*next);
    }
    return asked;
}

void recordVmAlive(VmLiveness &absence, const std::string &name)
{
    const auto it = absence.vms.find(name);
    if (it != absence.vms.end()) {
        it->second.unanswered = 0;
    }
}

std::vector<std::string> removeUnresponsiveVms(VmLiveness &absence, BootInstant now)
{
    std::vector<std::string> gone;
    std::erase_if(absence.vms, [&](const auto &it) {
        const VmPresence &vm = it.second;
        if (vm.unanswered < LeastUnanswered || now - vm.silentSince < AbsenceLimit) {
            return false;
        }
        gone.push_back(it.first);
        return true;
    });
    return gone;
}

} // namespace gentianplank
