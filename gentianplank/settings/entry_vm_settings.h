// What a process learns at its start about its VM and the platform around it.
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
    // Where callers connect, and where the platform asks for readiness; IP:PORT.
    std::string callerAddress;
    std::string readyAddress;
    // Ports for connections between VMs, first and last.
    uint16_t firstPeerPort = 0;
    uint16_t lastPeerPort = 0;
    std::string storeAddress;
    std::string promotionAddress;
    uint32_t fileDescriptors = 1024;
    uint32_t memoryMb = 256;
    // The bandwidth of the VM's link; 0 when it is not told.
    uint32_t linkMbps = 0;
    // How long after its withdrawal a key may still be used.
    Duration revocationLimit = std::chrono::seconds(5);
    // From the request to stop until the process is killed.
    Duration grace = std::chrono::seconds(6);
    // How long a leaving member may still get new work.
    Duration drainLimit = std::chrono::seconds(7);
    // How soon a change of the configuration is in force.
    Duration configurationLimit = std::chrono::seconds(4);

    bool operator==(const EntryVmSettings &) const = default;
};

// How many callers may be connected at once: what the descriptors for peers, members, the store and
// logs leave.
size_t mostCallers(const EntryVmSettings &settings);

// Bytes that unread messages of all callers together may take: an eighth of the memory, since each
// is copied on its way.
size_t mostUnreadBytes(const EntryVmSettings &settings);

// What becomes of newly read settings in a process that runs.
struct SettingsChange
{
    EntryVmSettings inForce;
    // Names of fields that took effect, and of those that take effect at the next start.
    std::vector<std::string> taken;
    std::vector<std::string> waiting;
};

// Takes the limits of `loaded`; names, places and addresses of a running process stay.
SettingsChange changeRunning(const EntryVmSettings &running, const EntryVmSettings &loaded);

} // namespace gentianplank
