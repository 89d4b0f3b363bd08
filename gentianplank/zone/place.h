// Availability zones and regions, and the distance between two places.
//
//     if (distanceBetween(vm.place, member.place) == Distance::OtherRegion) { ... }
#pragma once

#include <string>

namespace gentianplank {

// An availability zone and its region.
struct Place
{
    std::string zone;
    std::string region;

    bool operator==(const Place &) const = default;
};

enum class Distance {
    SameZone,
    SameRegion,
    OtherRegion,
};

// Returns the distance between two places. Thread-safe.
Distance distanceBetween(const Place &a, const Place &b);

} // namespace gentianplank
