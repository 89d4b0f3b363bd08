#include "gentianplank/vm/relay_choice.h"

#include "gentianplank/base/rendezvous.h"

#include <algorithm>
#include <functional>
#include <map>

namespace gentianplank {

namespace {

constexpr char RelayKey[] = "relay";

// Returns the VMs within a distance in the common order: faster links first, since the first VM of
// a zone sends to all its others.
std::vector<std::string> rankedWithin(Distance farthest, const Place &place,
                                      std::span<const VmRecord> vms)
{
    std::map<uint32_t, std::vector<std::string>, std::greater<>> byLink;
    for (const VmRecord &it : vms) {
        if (!it.isLeaving && distanceBetween(it.place, place) <= farthest) {
            byLink[it.linkMbps].push_back(it.name);
        }
    }
    std::vector<std::string> ranked;
    for (const auto &[linkMbps, names] : byLink) {
        const auto part = rankByRendezvous(RelayKey, names);
        ranked.insert(ranked.end(), part.begin(), part.end());
    }
    return ranked;
}

// Returns the first VM that is ranked before `ownName` and is not avoided.
std::optional<std::string> firstBefore(const std::string &ownName,
                                       const std::vector<std::string> &ranked,
                                       const std::set<std::string> &avoided)
{
    for (const std::string &it : ranked) {
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
    const auto inZone = rankedWithin(Distance::SameZone, ownPlace, vms);
    const auto inRegion = rankedWithin(Distance::SameRegion, ownPlace, vms);
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
