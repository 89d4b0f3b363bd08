// The topology and current size of the users' two fleets, for benches and tests.
//
//     const FleetShape fleet = associationFleet();
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/zone/place.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

struct FleetShape
{
    std::string name;
    std::vector<Place> vms;
    // The places of the members of every group.
    std::vector<Place> members;
    size_t groups = 3;
    uint32_t slots = 2;
    uint32_t connections = 16;
    size_t organisations = 8;
    std::string storeRegion;
    // One-way latencies between the zones of a region, between regions, and between a caller
    // and its VM.
    Duration interZoneLatency = std::chrono::milliseconds(1);
    Duration interRegionLatency = std::chrono::milliseconds(20);
    Duration clientLatency = std::chrono::milliseconds(1);
    Duration connectTime = std::chrono::milliseconds(12);
    double linkBitsPerSecond = 30e6;
};

FleetShape associationFleet();
FleetShape safraFleet();

// Returns the fleet named "association" or "safra", or nullopt for any other name.
std::optional<FleetShape> fleetByName(std::string_view name);

// Returns the one-way latency between two places of the fleet; zero within a zone.
Duration latencyBetween(const FleetShape &fleet, const Place &a, const Place &b);

} // namespace gentianplank
