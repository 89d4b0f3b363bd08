#include "gentianplank/configuration/routing.h"

#include <algorithm>

namespace gentianplank {

namespace {

template <typename Map>
const typename Map::mapped_type *findIn(const Map &map, std::string_view key)
{
    const auto it = map.find(key);
    return it == map.end() ? nullptr : &it->second;
}

} // namespace

const DatabaseRoute *Routing::routeOf(std::string_view database) const
{
    return findIn(routes, database);
}

const OrganisationLimits *Routing::organisationOfKey(std::string_view key) const
{
    const std::string *name = findIn(organisationByKey, key);
    return name == nullptr ? nullptr : findIn(organisations, *name);
}

const GroupLimits *Routing::group(std::string_view name) const
{
    return findIn(groups, name);
}

Duration longestStatement(const Routing &routing)
{
    Duration longest{0};
    for (const auto &[database, route] : routing.routes) {
        longest = std::max(longest, route.timeout);
    }
    return longest;
}

} // namespace gentianplank
