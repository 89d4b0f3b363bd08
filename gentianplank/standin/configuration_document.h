// The operator's configuration document for tests.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace gentianplank {

// Returns a configuration with one group, "g", a route of each kind and one organisation, "org".
// `keys` are its keys as a JSON list without brackets.
std::string configuration(int version, const std::string &keys);

// An organisation of configurationOf() with its keys. Its rate is practically unlimited.
struct DocumentOrganisation
{
    std::string name;
    std::vector<std::string> keys;
};

// Returns a configuration document with the group "g", a route "own" that reads its own writes, a
// route "main" that reads at the primary, and the organisations.
std::string configurationOf(int version, std::span<const DocumentOrganisation> organisations);

// What a settings document of an entry VM on loopback differs by. Addresses are IP:PORT.
struct SettingsDocument
{
    std::string name;
    std::string zone;
    std::string region;
    std::string callerAddress;
    std::string readyAddress;
    uint16_t peerPort = 0;
    // Serves the store and the promotion call.
    std::string storeAddress;
    int graceSeconds = 6;
    int revocationMs = 5000;
};

// Returns the settings as the platform's TOML text.
std::string settingsText(const SettingsDocument &settings);

} // namespace gentianplank
