#include "gentianplank/settings/entry_vm_settings.h"

#include <algorithm>

namespace gentianplank {

namespace {

// Enough for several links to each peer in a fleet of 100 VMs, the connections to the few members
// that this VM dispatches for, the store and the log.
constexpr size_t ReservedDescriptors = 700;

template <typename Field>
void applyNow(SettingsReload &change, Field EntryVmSettings::*field, const EntryVmSettings &loaded,
              const char *name)
{
    if (change.inForce.*field != loaded.*field) {
        change.inForce.*field = loaded.*field;
        change.appliedNow.emplace_back(name);
    }
}

template <typename Field>
void deferToRestart(SettingsReload &change, Field EntryVmSettings::*field,
                    const EntryVmSettings &loaded, const char *name)
{
    if (change.inForce.*field != loaded.*field) {
        change.deferred.emplace_back(name);
    }
}

} // namespace

size_t maxCallers(const EntryVmSettings &settings)
{
    const size_t all = settings.fileDescriptors;
    return all > 2 * ReservedDescriptors ? all - ReservedDescriptors : all / 2;
}

SettingsReload applyReload(const EntryVmSettings &running, const EntryVmSettings &loaded)
{
    SettingsReload change{running, {}, {}};
    applyNow(change, &EntryVmSettings::fileDescriptors, loaded, "file descriptors");
    applyNow(change, &EntryVmSettings::memoryMb, loaded, "memory");
    applyNow(change, &EntryVmSettings::revocationLimit, loaded, "revocation limit");
    applyNow(change, &EntryVmSettings::grace, loaded, "grace");
    applyNow(change, &EntryVmSettings::drainLimit, loaded, "drain limit");
    applyNow(change, &EntryVmSettings::configurationLimit, loaded, "configuration limit");
    applyNow(change, &EntryVmSettings::evacuationLimit, loaded, "evacuation limit");
    applyNow(change, &EntryVmSettings::coldOverage, loaded, "overage of cold members");
    applyNow(change, &EntryVmSettings::coldSlack, loaded, "slack of cold members");
    deferToRestart(change, &EntryVmSettings::linkMbps, loaded, "link bandwidth");
    deferToRestart(change, &EntryVmSettings::name, loaded, "name");
    deferToRestart(change, &EntryVmSettings::place, loaded, "place");
    deferToRestart(change, &EntryVmSettings::regionOfZone, loaded, "regions of zones");
    deferToRestart(change, &EntryVmSettings::ip, loaded, "IP address");
    deferToRestart(change, &EntryVmSettings::callerAddress, loaded, "address for callers");
    deferToRestart(change, &EntryVmSettings::readyAddress, loaded, "address for readiness");
    deferToRestart(change, &EntryVmSettings::firstPeerPort, loaded, "first peer port");
    deferToRestart(change, &EntryVmSettings::lastPeerPort, loaded, "last peer port");
    deferToRestart(change, &EntryVmSettings::storeAddress, loaded, "address of the store");
    deferToRestart(change, &EntryVmSettings::promotionAddress, loaded, "address for promotions");
    return change;
}

} // namespace gentianplank
