#include "gentianplank/target/home_regions.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace gentianplank {

namespace {

bool contains(std::span<const std::string> regions, std::string_view region)
{
    return std::find(regions.begin(), regions.end(), region) != regions.end();
}

// The first name with each list of home regions: a configuration has few distinct lists, however
// many routes and organisations it has.
template <typename Map>
std::map<std::vector<std::string>, std::string> firstNameByHomes(const Map &map)
{
    std::map<std::vector<std::string>, std::string> names;
    for (const auto &[name, it] : map) {
        if (!it.homeRegions.empty()) {
            names.emplace(it.homeRegions, name);
        }
    }
    return names;
}

} // namespace

HomeRegions commonHomeRegions(std::span<const std::string> ofRoute,
                              std::span<const std::string> ofOrganisation)
{
    HomeRegions homes;
    homes.isUnrestricted = ofRoute.empty() && ofOrganisation.empty();
    for (const std::string &it : ofRoute.empty() ? ofOrganisation : ofRoute) {
        if (ofOrganisation.empty() || contains(ofOrganisation, it)) {
            homes.regions.push_back(it);
        }
    }
    return homes;
}

HomeRegions homeRegionsOf(const Routing &routing, std::string_view database,
                          std::span<const std::string> ofRoute, std::string_view organisation)
{
    const DatabaseRoute *route = routing.routeOf(database);
    const auto owner = routing.organisations.find(organisation);
    return commonHomeRegions(route == nullptr ? ofRoute : std::span(route->homeRegions),
                             owner == routing.organisations.end()
                                 ? std::span<const std::string>{}
                                 : std::span(owner->second.homeRegions));
}

bool permits(const HomeRegions &homes, std::string_view region)
{
    return homes.isUnrestricted || contains(homes.regions, region);
}

std::optional<DisjointHomes> findDisjointHomes(const Routing &routing)
{
    const auto ofOrganisations = firstNameByHomes(routing.organisations);
    std::optional<DisjointHomes> first;
    for (const auto &[ofRoute, database] : firstNameByHomes(routing.routes)) {
        for (const auto &[ofOrganisation, organisation] : ofOrganisations) {
            const bool isEarlier = !first || std::tie(database, organisation) <
                                                 std::tie(first->database, first->organisation);
            if (isEarlier && commonHomeRegions(ofRoute, ofOrganisation).regions.empty()) {
                first = DisjointHomes{database, organisation};
            }
        }
    }
    return first;
}

} // namespace gentianplank
