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
    // How long after its withdrawal a key may still be used.
    Duration revocationLimit = std::chrono::seconds(5);
    // From the request to stop until the process is killed.
    Duration grace = std::chrono::seconds(6);
    // How long a leaving member may still get new work.
    Duration drainLimit = std::chrono::seconds(7);

    bool operator==(const EntryVmSettings &) const = default;
};

} // namespace gentianplank
