// The regions that a statement is confined to by the home regions of its route and organisation.
//
//     const HomeRegions homes = homeRegionsOf(routing, request);
//     if (!permits(homes, member.place.region)) { ... }
#pragma once

#include "gentianplank/configuration/routing.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

struct HomeRegions
{
    // Neither the route nor the organisation has home regions.
    bool isUnrestricted = true;
    // The regions permitted by both; empty if they have none in common.
    std::vector<std::string> regions;
};

// Combines the home regions of a route and of an organisation; an empty list permits all regions.
// Thread-safe.
HomeRegions commonHomeRegions(std::span<const std::string> ofRoute,
                              std::span<const std::string> ofOrganisation);

// Returns the home regions in force for statements of the organisation on the database's route.
// `ofRoute` applies if the configuration no longer has the route. Thread-safe.
HomeRegions homeRegionsOf(const Routing &routing, std::string_view database,
                          std::span<const std::string> ofRoute, std::string_view organisation);

// Whether a statement may reach members and VMs in the region. Thread-safe.
bool permits(const HomeRegions &homes, std::string_view region);

// A route and an organisation without a home region in common.
struct DisjointHomes
{
    std::string database;
    std::string organisation;
};

// Finds the first route and organisation, in the order of their names, that have home regions and
// none in common; nullopt if there are none. Thread-safe.
std::optional<DisjointHomes> findDisjointHomes(const Routing &routing);

} // namespace gentianplank
