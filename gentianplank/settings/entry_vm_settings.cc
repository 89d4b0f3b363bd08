#include "gentianplank/settings/entry_vm_settings.h"

#include <algorithm>

namespace gentianplank {

namespace {

// Several links to each peer of a fleet of a hundred VMs, the connections of a few dispatched
// members, the store's and the log's.
constexpr size_t ReservedDescriptors = 700;
constexpr size_t BytesPerMegabyte = 1024UL * 1024;
constexpr size_t UnreadDivisor = 8;

template <typename Field>
void take(SettingsChange &change, Field EntryVmSettings::*field, const EntryVmSettings &loaded,
          const char *name)
{
    if (change.inForce.*field != loaded.*field) {
        change.inForce.*field = loaded.*field;
        change.taken.emplace_back(name);
    }
}

template <typename Field>
void leave(SettingsChange &change, Field EntryVmSettings::*field, const EntryVmSettings &loaded,
           const char *name)
{
    if (change.inForce.*field != loaded.*field) {
        change.waiting.emplace_back(name);
    }
}

} // namespace

size_t mostCallers(const EntryVmSettings &settings)
{
    const size_t all = settings.fileDescriptors;
    return all > 2 * ReservedDescriptors ? all - ReservedDescriptors : all / 2;
}

size_t mostUnreadBytes(const EntryVmSettings &settings)
{
    return settings.memoryMb * BytesPerMegabyte / UnreadDivisor;
}

SettingsChange changeRunning(const EntryVmSettings &running, const EntryVmSettings &loaded)
{
    SettingsChange change{running, {}, {}};
    take(change, &EntryVmSettings::fileDescriptors, loaded, "file descriptors");
    take(change, &EntryVmSettings::memoryMb, loaded, "memory");
    take(change, &EntryVmSettings::revocationLimit, loaded, "revocation limit");
    take(change, &EntryVmSettings::grace, loaded, "grace");
    take(change, &EntryVmSettings::drainLimit, loaded, "drain limit");
    take(change, &EntryVmSettings::configurationLimit, loaded, "configuration limit");
    leave(change, &EntryVmSettings::linkMbps, loaded, "link bandwidth");
    leave(change, &EntryVmSettings::name, loaded, "name");
    leave(change, &EntryVmSettings::place, loaded, "place");
    leave(change, &EntryVmSettings::regionOfZone, loaded, "regions of zones");
    leave(change, &EntryVmSettings::ip, loaded, "IP address");
    leave(change, &EntryVmSettings::callerAddress, loaded, "address for callers");
    leave(change, &EntryVmSettings::readyAddress, loaded, "address for readiness");
    leave(change, &EntryVmSettings::firstPeerPort, loaded, "first peer port");
    leave(change, &EntryVmSettings::lastPeerPort, loaded, "last peer port");
    leave(change, &EntryVmSettings::storeAddress, loaded, "address of the store");
    leave(change, &EntryVmSettings::promotionAddress, loaded, "address for promotions");
    return change;
}

} // namespace gentianplank
