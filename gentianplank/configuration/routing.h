// The configuration in force, indexed for checking statements: routes, organisations and limits.
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
#include <unordered_map>
#include <vector>

namespace gentianplank {

// What stands for callers without an organisation, on routes open to all.
inline constexpr std::string_view AnonymousOrganisation = "-";

// The commits that reads on a route must observe.
enum class Consistency {
    // Every acknowledged commit.
    Primary,
    // Every commit that was acknowledged longer ago than the route's staleness bound.
    BoundedStaleness,
    // As BoundedStaleness, and every commit of the session itself.
    ReadYourWrites,
};

// A database name that sessions open, and the group that serves its statements.
struct DatabaseRoute
{
    std::string database;
    std::string group;
    Consistency consistency = Consistency::Primary;
    Duration staleness{0};
    // Maximum duration of a statement.
    Duration timeout = std::chrono::seconds(1);
    // Target latency of a whole operation.
    Duration objective = std::chrono::seconds(1);
    // 0 is the highest priority.
    uint32_t priority = 0;
    // Statements don't need a key.
    bool isPublic = false;
    // The regions that statements are confined to; empty for no restriction.
    std::vector<std::string> homeRegions = {};
};

// An organisation and its rate limits, which apply to all VMs together.
struct OrganisationLimits
{
    std::string name;
    std::vector<std::string> keys;
    double perSecond = 0;
    double burst = 0;
    // The regions that statements are confined to; empty for no restriction.
    std::vector<std::string> homeRegions = {};
};

// Limits of a database group.
struct GroupLimits
{
    std::string name;
    // Maximum number of connections to a member, from all callers together.
    uint32_t connectionLimit = 1;
    uint32_t synchronousReplicas = 0;
    // How long a member that starts is cold, and the requests per second that it accepts meanwhile;
    // members have no cold phase if either is 0.
    Duration coldStart{0};
    double coldPerSecond = 0;
};

struct SessionLimits
{
    Duration headerTimeout = std::chrono::seconds(3);
    Duration transactionIdle = std::chrono::seconds(3);
};

// Immutable once published.
struct Routing
{
    // Increases with each change.
    uint64_t revision = 0;
    std::map<std::string, DatabaseRoute, std::less<>> routes;
    std::map<std::string, GroupLimits, std::less<>> groups;
    std::map<std::string, OrganisationLimits, std::less<>> organisations;
    std::map<std::string, std::string, std::less<>> organisationByKey;
    // By keyFingerprint().
    std::unordered_map<uint64_t, std::string> organisationByFingerprint;
    SessionLimits limits;
    // Names of organisations that members can't be told. Their keys are unknown.
    std::vector<std::string> unusableOrganisations;

    // Return nullptr if there is none.
    const DatabaseRoute *routeOf(std::string_view database) const;
    const OrganisationLimits *organisationOfKey(std::string_view key) const;
    const GroupLimits *group(std::string_view name) const;
};

// Adds an organisation and its keys. A key that another organisation has moves to this one.
void addOrganisation(Routing &routing, OrganisationLimits organisation);

// Returns a number that identifies a key to other VMs without telling it; 0 for no key.
// Thread-safe.
uint64_t keyFingerprint(std::string_view key);

// Returns the organisation on whose behalf a caller uses a route: `holder`, the organisation of its
// key, or AnonymousOrganisation if that is null and the route is open to all. Returns nullopt if
// the caller may not use the route. Thread-safe.
std::optional<std::string_view> organisationOfCaller(const DatabaseRoute &route,
                                                     const OrganisationLimits *holder);

// Whether the organisation holds the key of the fingerprint; nobody holds the keys of
// AnonymousOrganisation. Thread-safe.
bool holdsKey(const Routing &routing, std::string_view organisation, uint64_t fingerprint);

// Returns the longest statement timeout of all routes; zero without routes.
Duration longestStatement(const Routing &routing);

} // namespace gentianplank
