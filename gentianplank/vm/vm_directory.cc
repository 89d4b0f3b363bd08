#include "gentianplank/vm/vm_directory.h"

#include "gentianplank/base/rendezvous.h"

#include <algorithm>
#include <set>

namespace gentianplank {

namespace {

bool isEligible(const VmInfo &vm)
{
    return vm.reachable && !vm.leaving;
}

std::vector<std::string> eligibleVmsIn(const VmDirectory &directory, std::string_view region)
{
    std::vector<std::string> names;
    for (const VmInfo &it : directory.vms) {
        if (isEligible(it) && (region.empty() || it.place.region == region)) {
            names.push_back(it.name);
        }
    }
    return names;
}

} // namespace

const VmInfo *findVm(const VmDirectory &directory, std::string_view name)
{
    const auto it = std::find_if(directory.vms.begin(), directory.vms.end(),
                                 [&](const VmInfo &vm) { return vm.name == name; });
    return it == directory.vms.end() ? nullptr : &*it;
}

bool isListed(const VmDirectory &directory, std::string_view name, uint64_t incarnation)
{
    const VmInfo *vm = findVm(directory, name);
    return vm != nullptr && vm->incarnation == incarnation;
}

size_t majorityOf(const VmDirectory &directory)
{
    return directory.vms.empty() ? 0 : directory.vms.size() / 2 + 1;
}

VmDirectory withVm(VmDirectory directory, const VmInfo &vm)
{
    directory = withoutVm(std::move(directory), vm.name);
    directory.vms.push_back(vm);
    return directory;
}

VmDirectory withoutVm(VmDirectory directory, std::string_view name)
{
    std::erase_if(directory.vms, [&](const VmInfo &it) { return it.name == name; });
    return directory;
}

std::string dispatcherOf(const VmDirectory &directory, std::string_view group,
                         std::string_view region)
{
    std::vector<std::string> names = eligibleVmsIn(directory, region);
    if (names.empty()) {
        names = eligibleVmsIn(directory, {});
    }
    return pickByRendezvous("dispatch/" + std::string(group), names);
}

std::vector<std::string> watchersOf(const VmDirectory &directory, std::string_view group, size_t n)
{
    const std::vector<std::string> ranked =
        rankByRendezvous("watch/" + std::string(group), eligibleVmsIn(directory, {}));
    std::vector<std::string> chosen;
    std::set<std::string> zones;
    for (const std::string &it : ranked) {
        if (chosen.size() < n && zones.insert(findVm(directory, it)->place.zone).second) {
            chosen.push_back(it);
        }
    }
    for (const std::string &it : ranked) {
        if (chosen.size() < n && std::find(chosen.begin(), chosen.end(), it) == chosen.end()) {
            chosen.push_back(it);
        }
    }
    return chosen;
}

} // namespace gentianplank
