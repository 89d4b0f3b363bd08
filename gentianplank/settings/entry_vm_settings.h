// Settings of an entry VM: its identity, addresses, resources and the platform's time bounds.
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/zone/place.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gentianplank {

struct EntryVmSettings
{
    std::string name;
    Place place;
    std::map<std::string, std::string> regionOfZone;
    std::string ip;
    // Listen addresses for callers and for the platform's readiness probe, as IP:PORT.
    std::string callerAddress;
    std::string readyAddress;
    // Inclusive range of ports for connections between VMs.
    uint16_t firstPeerPort = 0;
    uint16_t lastPeerPort = 0;
    std::string storeAddress;
    std::string promotionAddress;
    uint32_t fileDescriptors = 1024;
    uint32_t memoryMb = 256;
    // Bandwidth of the VM's network link in Mbit/s; 0 if unknown.
    uint32_t linkMbps = 0;
    // How long a key may still be used after its withdrawal.
    Duration revocationLimit = std::chrono::seconds(5);
    // Time from the request to stop until the process is killed.
    Duration grace = std::chrono::seconds(6);
    // How long a leaving member may still be sent new work.
    Duration drainLimit = std::chrono::seconds(7);
    // Time within which a configuration change must take effect.
    Duration configurationLimit = std::chrono::seconds(4);
    // Time within which an evacuation of a zone must be in force; 0: evacuations are not in force.
    Duration evacuationLimit{0};
    // The requests in any second to a cold member may exceed the configured rate by this factor,
    // and by this number. Cold phases are not in force without a factor.
    double coldOverage = 0;
    double coldSlack = 0;

    bool operator==(const EntryVmSettings &) const = default;
};

// Maximum number of connected callers: the file descriptors that remain after those reserved for
// peers, members, the store and logs, but at least half of all. Thread-safe.
size_t maxCallers(const EntryVmSettings &settings);

// Result of reloading the settings in a running process.
struct SettingsReload
{
    EntryVmSettings inForce;
    // Names of the changed fields that take effect at once.
    std::vector<std::string> appliedNow;
    // Names of the changed fields that take effect at the next start.
    std::vector<std::string> deferred;
};

// Applies the changed limits of `loaded` to `running`. Other fields, such as names, places and
// addresses, keep their running values until the next start. Thread-safe.
SettingsReload applyReload(const EntryVmSettings &running, const EntryVmSettings &loaded);

} // namespace gentianplank
