// The configuration in force as statements are checked against it: routes, organisations, limits.
//
//     std::shared_ptr<const Routing> routing = ...;
//     const DatabaseRoute *route = routing->routeOf("ledger");
//     const OrganisationLimits *organisation = routing->organisationOfKey(key);
#pragma once

#include "gentianplank/base/time.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// What a route's reads must see.
enum class Consistency {
    // Every acknowledged commit.
    Primary,
    // Every commit that was acknowledged longer ago than the route's staleness.
    BoundedStaleness,
    // The same, and every commit of the session itself.
    ReadYourWrites,
};

// A database name that sessions open, and where its statements go.
struct DatabaseRoute
{
    std::string database;
    std::string group;
    Consistency consistency = Consistency::Primary;
    Duration staleness{0};
    // The limit of one statement.
    Duration timeout = std::chrono::seconds(1);
    // What a whole operation should take.
    Duration objective = std::chrono::seconds(1);
    // 0 is served first.
    uint32_t priority = 0;
    // Runs without a key.
    bool isPublic = false;
};

// An organisation and its limits over all VMs together.
struct OrganisationLimits
{
    std::string name;
    std::vector<std::string> keys;
    double perSecond = 0;
    double burst = 0;
};

// A database group.
struct GroupLimits
{
    std::string name;
    // Connections to one member from all callers together.
    uint32_t connectionLimit = 1;
    uint32_t synchronousReplicas = 0;
};

struct SessionLimits
{
    Duration headerTimeout = std::chrono::seconds(3);
    Duration transactionIdle = std::chrono::seconds(3);
};

// Immutable once published.
struct Routing
{
    // Rises with each change.
    uint64_t revision = 0;
    std::map<std::string, DatabaseRoute, std::less<>> routes;
    std::map<std::string, GroupLimits, std::less<>> groups;
    std::map<std::string, OrganisationLimits, std::less<>> organisations;
    std::map<std::string, std::string, std::less<>> organisationByKey;
    SessionLimits limits;

    // Return nullptr when there is none.
    const DatabaseRoute *routeOf(std::string_view database) const;
    const OrganisationLimits *organisationOfKey(std::string_view key) const;
    const GroupLimits *group(std::string_view name) const;
};

// The longest that a statement may take on any route; zero without routes.
Duration longestStatement(const Routing &routing);

} // namespace gentianplank
