#include "gentianplank/node/control/control_state.h"

#include "gentianplank/base/event_log.h"

namespace gentianplank {

namespace {

// Time for a whole fleet to write its lost rows again at the store's rate for one part of a table.
constexpr Duration LostVmGrace = std::chrono::seconds(4);

} // namespace

void Control::State::applyFleetRows(const std::vector<StoredRow> &rows)
{
    for (const StoredRow &row : rows) {
        if (row.key.starts_with(VmKeyPrefix)) {
            applyVmRow(row);
        } else if (row.key.starts_with(GroupKeyPrefix)) {
            applyGroupRow(row);
        } else if (row.key == PromotionDutyKey) {
            applyDutyRow(row);
        }
    }
    // The rows include this VM's last write.
    const bool isCaughtUp = fleetFollower->version() >= ownRowVersion;
    if (isRegistered && isCaughtUp && !isOwnRowStored()) {
        isRegistered = false;
        ownRowVersion = {};
    }
    publication.schedule();
}

void Control::State::applyVmRow(const StoredRow &row)
{
    const std::string name = row.key.substr(VmKeyPrefix.size());
    const auto record =
        row.erased ? tl::make_unexpected(std::string("erased")) : decodeVmRecord(row.value);
    const bool isKnown = vms.count(name) != 0;
    if (record) {
        lostVms.erase(name);
        wasRegisteredBeforeStart = wasRegisteredBeforeStart ||
                                   (name == settings.name && record->incarnation != incarnation);
        // What is known is newer than what came back with the copy.
        if (!isKnown || !isCarriedOver(record->era, row.version)) {
            vms[name] = *record;
        }
    } else if (isKnown && tablesInNewEra.count(FleetTable) != 0) {
        lostVms.emplace(name, bootNow());
    } else {
        vms.erase(name);
    }
}

// Removes the VMs that have not written their lost rows again.
void Control::State::dropLostVms()
{
    const BootInstant now = bootNow();
    std::erase_if(lostVms, [&](const auto &it) {
        if (now - it.second < LostVmGrace) {
            return false;
        }
        logEvent("vm.lost", {{"vm", it.first}});
        vms.erase(it.first);
        publication.schedule();
        return true;
    });
}

void Control::State::applyDutyRow(const StoredRow &row)
{
    if (row.erased) {
        duty = {};
        dutyVersion = {};
        return;
    }
    const auto record = decodeDutyRecord(row.value);
    if (!record) {
        logEvent("duty.unreadable", {{"why", record.error()}});
        return;
    }
    const bool isOwnAcquisition = row.version > dutyVersion && record->holder == settings.name &&
                                  record->incarnation == incarnation;
    if (isOwnAcquisition) {
        // The answer to the acquisition was lost or is late.
        recordDutyAcquired(isAbsent(dutyVersion) || isCarriedOver(duty.era, dutyVersion));
    }
    duty = *record;
    dutyVersion = row.version;
    holderLastSeenAt = bootNow();
    requireRevision(duty.configurationRevision);
    logEvent("duty.holder", {{"vm", duty.holder},
                             {"token", toOrderedNumber(dutyVersion)},
                             {"row_version", toString(dutyVersion)},
                             {"carried_over", isCarriedOver(duty.era, dutyVersion)}});
}

void Control::State::applyGroupRow(const StoredRow &row)
{
    const std::string name = row.key.substr(GroupKeyPrefix.size());
    GroupState &group = groups[name];
    if (row.erased) {
        logEvent("group.record_lost", {{"group", name}, {"known_epoch", group.record.epoch}});
        gentianplank::applyGroupRow(group, std::nullopt, row.version);
        return;
    }
    const auto record = decodeGroupRecord(row.value);
    if (!record) {
        logEvent("group.unreadable", {{"group", name}, {"why", record.error()}});
        return;
    }
    if (!group.record.primary.empty() && group.record.primary != record->primary) {
        group.primaryChangedAt = bootNow();
    }
    gentianplank::applyGroupRow(group, *record, row.version);
    logEvent("group.record", {{"group", name},
                              {"epoch", record->epoch},
                              {"known_epoch", group.record.epoch},
                              {"confirmed", group.isConfirmed},
                              {"primary", record->primary},
                              {"changing", record->phase == GroupPhase::Changing},
                              {"row_version", toString(row.version)},
                              {"writer", record->writer}});
}

// The store came back from an older copy. Nobody holds the duty in the new era yet, and no group's
// record is confirmed in it.
void Control::State::beginEra(uint64_t era)
{
    newEraAt = bootNow();
    eraSeenAt = newEraAt;
    if (!isAbsent(dutyVersion)) {
        dutyVersion.era = era;
    }
    for (auto &[name, group] : groups) {
        gentianplank::beginEra(group, era, proofs.fleet);
    }
    publication.schedule();
    logEvent("fleet.new_era", {{"era", era},
                               {"groups", groups.size()},
                               {"proof_age_ms", toMilliseconds(newEraAt - proofs.fleet)}});
}

} // namespace gentianplank
