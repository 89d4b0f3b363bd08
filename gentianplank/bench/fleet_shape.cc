#include "gentianplank/bench/fleet_shape.h"

namespace gentianplank {

FleetShape associationFleet()
{
    const Place portland{"portland", "gulf-maine"};
    const Place gloucester{"gloucester", "gulf-maine"};
    const Place newHaven{"new-haven", "south-coast"};
    FleetShape fleet;
    fleet.name = "association";
    fleet.vms = {portland, portland, portland, gloucester, gloucester, newHaven, newHaven};
    fleet.members = {portland, gloucester, newHaven};
    fleet.storeRegion = "gulf-maine";
    return fleet;
}

FleetShape safraFleet()
{
    const Place sulA{"rs-sul-a", "rs-sul"};
    const Place sulB{"rs-sul-b", "rs-sul"};
    const Place norte{"pr-norte-a", "pr-norte"};
    FleetShape fleet;
    fleet.name = "safra";
    fleet.vms = {sulA, sulA, sulB, sulB, norte, norte};
    fleet.members = {sulA, sulB, norte};
    fleet.slots = 3;
    fleet.connections = 34;
    fleet.storeRegion = "rs-sul";
    return fleet;
}

std::optional<FleetShape> fleetByName(std::string_view name)
{
    for (const FleetShape &it : {associationFleet(), safraFleet()}) {
        if (it.name == name) {
            return it;
        }
    }
    return std::nullopt;
}

Duration latencyBetween(const FleetShape &fleet, const Place &a, const Place &b)
{
    switch (distanceBetween(a, b)) {
    case Distance::SameZone:
        return Duration::zero();
    case Distance::SameRegion:
        return fleet.interZoneLatency;
    case Distance::OtherRegion:
        break;
    }
    return fleet.interRegionLatency;
}

} // namespace gentianplank
