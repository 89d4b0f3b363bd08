#include "gentianplank/vm/relay_choice.h"

#include "gentianplank/base/rendezvous.h"

#include <algorithm>

namespace gentianplank {

namespace {

constexpr char RelayKey[] = "relay";

std::vector<std::string> namesWithin(Distance farthest, const Place &place,
                                     std::span<const VmRecord> vms)
{
    std::vector<std::string> names;
    for (const VmRecord &it : vms) {
        if (!it.isLeaving && distanceBetween(it.place, place) <= farthest) {
            names.push_back(it.name);
        }
    }
    return names;
}

// The first VM that stands before `ownName` and is not avoided.
std::optional<std::string> firstBefore(const std::string &ownName,
                                       const std::vector<std::string> &names,
                                       const std::set<std::string> &avoided)
{
    for (const std::string &it : rankByRendezvous(RelayKey, names)) {
        if (it == ownName) {
            return std::nullopt;
        }
        if (avoided.count(it) == 0) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<RelayChoice> chooseRelay(const std::string &ownName, const Place &ownPlace,
                                       std::span<const VmRecord> vms,
                                       const std::set<std::string> &avoided)
{
    const auto inZone = namesWithin(Distance::SameZone, ownPlace, vms);
    const auto inRegion = namesWithin(Distance::SameRegion, ownPlace, vms);
    const bool isListed = std::find(inZone.begin(), inZone.end(), ownName) != inZone.end();
    if (!isListed) {
        return std::nullopt;
    }
    if (const auto vm = firstBefore(ownName, inZone, avoided)) {
        return RelayChoice{*vm, true};
    }
    if (const auto vm = firstBefore(ownName, inRegion, avoided)) {
        return RelayChoice{*vm, false};
    }
    return std::nullopt;
}

} // namespace gentianplank
