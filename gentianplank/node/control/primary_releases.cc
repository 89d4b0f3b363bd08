#include "gentianplank/node/control/primary_releases.h"

#include <algorithm>

namespace gentianplank {

bool isReleasedByAll(const PrimaryReleases &releases, std::span<const VmRecord> vms)
{
    return std::all_of(
        releases.awaitedVms.begin(), releases.awaitedVms.end(), [&](const auto &awaitedVm) {
            if (releases.releasedBy.count(awaitedVm.first) != 0) {
                return true;
            }
            const auto it = std::find_if(vms.begin(), vms.end(), [&](const VmRecord &vm) {
                return vm.name == awaitedVm.first;
            });
            return it != vms.end() && it->incarnation != awaitedVm.second;
        });
}

} // namespace gentianplank
