// An immutable, indexed view of a configuration revision, read by traffic threads.
//
//     std::shared_ptr<const ConfigurationView> view = ...;
//     const auto organisation = view->organisationOfKey(callerKey);
#pragma once

#include "gentianplank/configuration/change.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gentianplank {

// An organisation's rate limit, which applies to all VMs together.
struct RateLimit
{
    double perSecond = 0;
    double burst = 0;

    bool operator==(const RateLimit &) const = default;
};

// Immutable, hence thread-safe.
class ConfigurationView
{
public:
    explicit ConfigurationView(ConfigurationDocument document);
    ~ConfigurationView();

    uint64_t revision() const;
    const ConfigurationDocument &document() const;

    // Returns the organisation that a key is granted to, or nullopt.
    std::optional<std::string> organisationOfKey(std::string_view key) const;

    // Whether the key with this digest is still granted to the organisation. Lets long-running
    // requests recheck their key after a change of the configuration.
    bool isGranted(std::string_view digest, std::string_view organisation) const;

    // Return nullptr if there is no such entry.
    const configuration::v1::Route *route(std::string_view name) const;
    const configuration::v1::Target *target(std::string_view group) const;

    // Whether an organisation may use a route. False for a suspended organisation.
    bool mayUse(std::string_view organisation, const configuration::v1::Route &route) const;

    // Returns the organisation's rate limit: its own or the fleet's default, scaled by its
    // exceptions.
    RateLimit rateOf(std::string_view organisation) const;

    // Returns the organisation's scheduling weight at targets, at least 1.
    uint32_t weightOf(std::string_view organisation) const;

    // Whether an exception allows the route to acknowledge writes that only the primary holds.
    bool acknowledgesOnPrimaryOnly(std::string_view route) const;

private:
    struct State;
    std::unique_ptr<const State> m_state;
};

} // namespace gentianplank
