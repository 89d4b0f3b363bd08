#include "gentianplank/platform/documents.h"

#include "gentianplank/http/endpoint.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace gentianplank::platform {

namespace {

using Json = nlohmann::json;

// Of routes and tenants.
constexpr char HomeRegionsField[] = "home-regions";
constexpr unsigned char DeleteCharacter = 0x7f;

Duration milliseconds(const Json &value)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(value.get<double>()));
}

Duration seconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

Consistency consistencyOf(const std::string &word)
{
    if (word == "bounded_staleness") {
        return Consistency::BoundedStaleness;
    }
    if (word == "read_your_writes") {
        return Consistency::ReadYourWrites;
    }
    return Consistency::Primary;
}

DatabaseRoute decodeRoute(const Json &json)
{
    DatabaseRoute route;
    route.database = json.at("host").get<std::string>();
    route.group = json.at("service").get<std::string>();
    route.consistency = consistencyOf(json.at("route-kind").get<std::string>());
    if (json.contains("max-staleness-ms")) {
        route.staleness = milliseconds(json.at("max-staleness-ms"));
    }
    route.timeout = milliseconds(json.at("timeout-ms"));
    route.objective = milliseconds(json.at("target-latency-ms"));
    route.priority = json.value("priority", 0U);
    route.isPublic = json.value("public", false);
    route.homeRegions = json.value(HomeRegionsField, std::vector<std::string>{});
    return route;
}

// Whether a member reads the name as one word of the line that starts a connection.
bool isOneWord(std::string_view name)
{
    return !name.empty() && std::none_of(name.begin(), name.end(), [](unsigned char it) {
        return it <= ' ' || it == DeleteCharacter;
    });
}

OrganisationLimits decodeOrganisation(const Json &json)
{
    OrganisationLimits organisation;
    organisation.name = json.at("name").get<std::string>();
    organisation.keys = json.at("api-keys").get<std::vector<std::string>>();
    organisation.perSecond = json.at("rate-per-s").get<double>();
    organisation.burst = json.at("burst-size").get<double>();
    organisation.homeRegions = json.value(HomeRegionsField, std::vector<std::string>{});
    return organisation;
}

} // namespace

tl::expected<Routing, std::string> decodeConfiguration(std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        Routing routing;
        routing.revision = json.at("version").get<uint64_t>();
        for (const Json &it : json.at("routes")) {
            DatabaseRoute route = decodeRoute(it);
            routing.routes[route.database] = std::move(route);
        }
        for (const Json &it : json.at("services")) {
            GroupLimits group;
            group.name = it.at("name").get<std::string>();
            group.connectionLimit = it.value("connection-limit", 1U);
            group.synchronousReplicas = it.value("sync-replicas", 0U);
            group.coldStart = seconds(it.value("cold-start-s", 0.0));
            group.coldPerSecond = it.value("cold-per-s", 0.0);
            routing.groups[group.name] = group;
        }
        for (const Json &it : json.value("tenants", Json::array())) {
            OrganisationLimits organisation = decodeOrganisation(it);
            if (isOneWord(organisation.name) && organisation.name != AnonymousOrganisation) {
                addOrganisation(routing, std::move(organisation));
            } else {
                routing.unusableOrganisations.push_back(std::move(organisation.name));
            }
        }
        const Json limits = json.value("limits", Json::object());
        if (limits.contains("header-timeout-ms")) {
            routing.limits.headerTimeout = milliseconds(limits.at("header-timeout-ms"));
        }
        if (limits.contains("transaction-idle-ms")) {
            routing.limits.transactionIdle = milliseconds(limits.at("transaction-idle-ms"));
        }
        return routing;
    } catch (const Json::exception &error) {
        return tl::make_unexpected(std::string(error.what()));
    }
}

tl::expected<MemberEntry, std::string> decodeMemberEntry(std::string_view id, std::string_view text)
{
    try {
        const Json json = Json::parse(text);
        MemberEntry entry;
        entry.id = id;
        entry.group = json.at("service").get<std::string>();
        entry.address = json.at("address").get<std::string>();
        entry.zone = json.at("zone").get<std::string>();
        const Json &slots = json.at("slot-count");
        const std::string state = json.at("state").get<std::string>();
        const std::string role = json.value("database-role", "replica");
        const Json born = json.value("born", Json(0));
        if (!slots.is_number_integer() || slots.get<int64_t>() < 1) {
            return tl::make_unexpected("slot-count must be an integer of at least 1");
        }
        if (!born.is_number_integer()) {
            return tl::make_unexpected("born must be an integer");
        }
        if (state != "ready" && state != "draining") {
            return tl::make_unexpected("unknown state '" + state + "'");
        }
        if (role != "primary" && role != "replica") {
            return tl::make_unexpected("unknown database-role '" + role + "'");
        }
        if (!parseEndpoint(entry.address)) {
            return tl::make_unexpected("address '" + entry.address + "' is not IP:PORT");
        }
        entry.slots = static_cast<uint32_t>(slots.get<int64_t>());
        entry.isLeaving = state == "draining";
        entry.claimsPrimary = role == "primary";
        entry.startedAtMs = born.get<int64_t>();
        if (json.contains("cold-remaining-ms")) {
            entry.coldRemaining = milliseconds(json.at("cold-remaining-ms"));
        }
        return entry;
    } catch (const Json::exception &error) {
        return tl::make_unexpected(std::string(error.what()));
    }
}

} // namespace gentianplank::platform
