#include "gentianplank/configuration/routing.h"

#include "gentianplank/base/digest.h"

#include <algorithm>
#include <cstring>

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

void addOrganisation(Routing &routing, OrganisationLimits organisation)
{
    for (const std::string &key : organisation.keys) {
        routing.organisationByKey[key] = organisation.name;
        routing.organisationByFingerprint[keyFingerprint(key)] = organisation.name;
    }
    const std::string name = organisation.name;
    routing.organisations[name] = std::move(organisation);
}

uint64_t keyFingerprint(std::string_view key)
{
    if (key.empty()) {
        return 0;
    }
    uint64_t fingerprint = 0;
    std::memcpy(&fingerprint, keyDigest(key).data(), sizeof(fingerprint));
    return fingerprint;
}

std::optional<std::string_view> organisationOfCaller(const DatabaseRoute &route,
                                                     const OrganisationLimits *holder)
{
    if (holder != nullptr) {
        return holder->name;
    }
    return route.isPublic ? std::optional(AnonymousOrganisation) : std::nullopt;
}

bool holdsKey(const Routing &routing, std::string_view organisation, uint64_t fingerprint)
{
    const auto it = routing.organisationByFingerprint.find(fingerprint);
    return organisation == (it == routing.organisationByFingerprint.end()
                                ? AnonymousOrganisation
                                : std::string_view(it->second));
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
