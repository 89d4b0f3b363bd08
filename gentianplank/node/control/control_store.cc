#include "gentianplank/node/control/control_state.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/base/rendezvous.h"
#include "gentianplank/platform/documents.h"
#include "gentianplank/platform/names.h"
#include "gentianplank/settings/derived_times.h"
#include "gentianplank/target/home_regions.h"

#include <algorithm>

namespace gentianplank {

namespace asio = boost::asio;

namespace {

// How long the store waits for a change before it answers the fleet feed without one. The proof
// that primary leases rest on lasts 3 s on any deployment; its age when the store falls silent
// shortens the time for which it can still be used.
constexpr Duration FleetPollWait = std::chrono::milliseconds(900);
// The delay before followers are told that this VM has lost the store; it has tried another source
// by then.
constexpr Duration StoreLossNotificationDelay = std::chrono::milliseconds(300);

} // namespace

void Control::State::schedule(Duration delay, std::function<void()> task)
{
    auto timer = std::make_shared<asio::steady_timer>(ioContext, delay);
    timer->async_wait([timer, task = std::move(task)](boost::system::error_code ec) {
        if (!ec) {
            task();
        }
    });
}

TableFollowerListener
Control::State::makeListener(const std::string &table,
                             std::function<void(const std::vector<StoredRow> &)> onChanges,
                             std::function<void(BootInstant)> onUpToDate)
{
    TableFollowerListener listener;
    listener.onChanges = std::move(onChanges);
    listener.onUpToDate = [this, table, onUpToDate = std::move(onUpToDate)](BootInstant at) {
        tablesInNewEra.erase(table);
        onUpToDate(at);
    };
    listener.onNewEra = [this, table](uint64_t era) {
        tablesInNewEra.insert(table);
        if (table == FleetTable) {
            beginEra(era);
        }
        evacuations.awaitsOperator = evacuations.awaitsOperator || table == platform::OperatorTable;
    };
    listener.onReachable = [this, table](bool isReachable, const std::string &what) {
        logEvent(isReachable ? "store.reached" : "store.lost", {{"table", table}, {"what", what}});
        if (isReachable) {
            storeLostAt.erase(table);
        } else {
            storeLostAt.emplace(table, bootNow());
        }
    };
    return listener;
}

void Control::State::startFollowing()
{
    const Scheduler scheduler = [this](Duration delay, std::function<void()> task) {
        schedule(delay, std::move(task));
    };
    const DerivedTimes times = derivedTimes(settings);
    TableFollowerSettings followSettings;
    followSettings.wait = times.configurationFeedWait;
    configurationFollower = std::make_unique<TableFollower>(
        relayedStore, scheduler, platform::OperatorTable, followSettings,
        makeListener(
            platform::OperatorTable,
            [this](const std::vector<StoredRow> &rows) {
                applyEvacuations(rows);
                applyConfiguration(rows);
            },
            [this](BootInstant at) {
                publishConfigurationProof(at);
                relay.onFollowerAdvanced(platform::OperatorTable, *configurationFollower);
            }));
    followSettings.wait = times.memberFeedWait;
    memberFollower = std::make_unique<TableFollower>(
        relayedStore, scheduler, platform::MemberTable, followSettings,
        makeListener(
            platform::MemberTable,
            [this](const std::vector<StoredRow> &rows) { applyMembers(rows); },
            [this](BootInstant at) {
                membersProvenAt = at;
                relay.onFollowerAdvanced(platform::MemberTable, *memberFollower);
            }));
    followSettings.wait = FleetPollWait;
    followSettings.delayAfterFirstRead = [this] {
        return isFleetSettled() ? Duration::zero() : FleetSettleTime;
    };
    fleetFollower = std::make_unique<TableFollower>(
        relayedStore, scheduler, FleetTable, followSettings,
        makeListener(
            FleetTable, [this](const std::vector<StoredRow> &rows) { applyFleetRows(rows); },
            [this](BootInstant at) {
                // The proof is of these rows, not of those published before.
                publication.flush();
                proofs.fleet = at;
                if (eraSeenAt == BootInstant{}) {
                    eraSeenAt = bootNow();
                }
                traffic->publishProofs(proofs);
                relay.onFollowerAdvanced(FleetTable, *fleetFollower);
                if (!isRegistered) {
                    registerVm();
                }
                if (!isFollowingAll && isFleetSettled()) {
                    isFollowingAll = true;
                    configurationFollower->start();
                    memberFollower->start();
                }
            }));
    fleetFollower->start();
}

// Whether enough of the fleet's rows are known to select a relay: a fleet that starts for the first
// time needs a moment to write them.
bool Control::State::isFleetSettled() const
{
    return wasRegisteredBeforeStart || bootNow() - startedAt >= FleetSettleTime;
}

RelayedRowStoreEnvironment Control::State::relayedRowStoreEnvironment()
{
    RelayedRowStoreEnvironment environment;
    environment.selectRelay = [this](const std::set<std::string> &avoided) {
        return selectRelay(avoided);
    };
    environment.send = [this](const std::string &vm, const peer::v1::Frame &frame) {
        sendToPeer(vm, frame);
    };
    environment.schedule = [this](Duration delay, std::function<void()> task) {
        schedule(delay, std::move(task));
    };
    return environment;
}

// Returns the VM to follow as a relay, or nothing when this VM follows the store directly.
std::optional<RelayChoice> Control::State::selectRelay(const std::set<std::string> &avoided) const
{
    if (isLeaving) {
        return std::nullopt;
    }
    // Uses the rows as read, which may not be published yet, and until this process has written its
    // own row also the one of its predecessor. A VM without a row follows no relay.
    return chooseRelay(settings.name, settings.place, vmRecords(), avoided);
}

std::vector<VmRecord> Control::State::vmRecords() const
{
    std::vector<VmRecord> records;
    records.reserve(vms.size());
    for (const auto &[name, record] : vms) {
        records.push_back(record);
    }
    return records;
}

// Notifies followers of tables that this VM has not been able to follow for a while.
void Control::State::notifyFollowersOfStoreLoss()
{
    for (const auto &[table, since] : storeLostAt) {
        if (bootNow() - since > StoreLossNotificationDelay) {
            relay.reportStoreLost(table);
        }
    }
}

const TableFollower *Control::State::followerOf(const std::string &table) const
{
    if (table == FleetTable) {
        return fleetFollower.get();
    }
    if (table == platform::MemberTable) {
        return memberFollower.get();
    }
    return table == platform::OperatorTable ? configurationFollower.get() : nullptr;
}

void Control::State::applyConfiguration(const std::vector<StoredRow> &rows)
{
    for (const StoredRow &row : rows) {
        if (row.key != platform::ConfigurationKey) {
            continue;
        }
        if (row.erased) {
            storedRevision = 0;
            logEvent("configuration.missing", {{"row_version", toString(row.version)}});
            continue;
        }
        auto decoded = platform::decodeConfiguration(row.value);
        if (!decoded) {
            logEvent("configuration.unreadable",
                     {{"row_version", toString(row.version)}, {"why", decoded.error()}});
            continue;
        }
        storedRevision = decoded->revision;
        if (storedRevision < minRevision) {
            logEvent("configuration.older", {{"revision", storedRevision},
                                             {"known", minRevision},
                                             {"row_version", toString(row.version)}});
            continue;
        }
        routing = std::make_shared<const Routing>(std::move(*decoded));
        minRevision = routing->revision;
        logEvent("configuration.in_force", {{"revision", routing->revision},
                                            {"row_version", toString(row.version)},
                                            {"routes", routing->routes.size()},
                                            {"organisations", routing->organisations.size()}});
        for (const std::string &name : routing->unusableOrganisations) {
            logEvent("configuration.unusable_organisation",
                     {{"revision", routing->revision},
                      {"organisation", name},
                      {"why", "members read it as several words, or as callers without one"}});
        }
        if (const auto disjoint = findDisjointHomes(*routing)) {
            logEvent("configuration.disjoint_homes", {{"revision", routing->revision},
                                                      {"database", disjoint->database},
                                                      {"organisation", disjoint->organisation}});
        }
        publish();
    }
}

// Revisions only increase. A lower one in the store came back with an older copy, and the operator
// has not written the configuration again yet: reading it proves nothing.
void Control::State::publishConfigurationProof(BootInstant at)
{
    if (storedRevision >= minRevision) {
        endLostEvacuations();
        proofs.configuration = at;
        traffic->publishProofs(proofs);
    }
}

// Another VM has had the revision in force. What this VM has read in the current era of the store
// may have been older.
void Control::State::requireRevision(uint64_t revision)
{
    minRevision = std::max(minRevision, revision);
    const bool isEraNew = bootNow() - eraSeenAt < derivedTimes(settings).configurationProofLifetime;
    if (storedRevision < minRevision && isEraNew && proofs.configuration != BootInstant{}) {
        logEvent("configuration.older", {{"revision", storedRevision}, {"known", minRevision}});
        proofs.configuration = {};
        traffic->publishProofs(proofs);
    }
}

void Control::State::applyMembers(const std::vector<StoredRow> &rows)
{
    const BootInstant now = bootNow();
    for (const StoredRow &row : rows) {
        if (row.erased) {
            if (members.count(row.key) != 0) {
                missingSince.emplace(row.key, now);
            }
            continue;
        }
        const auto entry = platform::decodeMemberEntry(row.key, row.value);
        if (!entry) {
            logEvent("member.unreadable", {{"member", row.key}, {"why", entry.error()}});
            if (members.count(row.key) != 0) {
                missingSince.emplace(row.key, now);
            }
            continue;
        }
        missingSince.erase(row.key);
        const auto known = members.find(row.key);
        FleetMember member;
        member.entry = *entry;
        noteColdPhases(member, known == members.end() ? nullptr : &known->second);
        if (known != members.end() && isSameExceptCold(known->second.entry, *entry)) {
            known->second.entry.coldRemaining = entry->coldRemaining;
            known->second.coldByEntryUntil = member.coldByEntryUntil;
            continue;
        }
        // A process that leaves doesn't come back: the copy was made before it said so.
        member.entry.isLeaving =
            member.entry.isLeaving || (tablesInNewEra.count(platform::MemberTable) != 0 &&
                                       known != members.end() && known->second.entry.isLeaving &&
                                       known->second.entry.startedAtMs == entry->startedAtMs);
        const auto region = settings.regionOfZone.find(entry->zone);
        member.place = {entry->zone, region == settings.regionOfZone.end() ? "" : region->second};
        if (member.entry.isLeaving) {
            const bool wasLeaving =
                known != members.end() && known->second.leavingSince != BootInstant{};
            member.leavingSince = wasLeaving ? known->second.leavingSince : now;
        }
        if (known != members.end()) {
            noteClaim(known->second.entry, false);
        }
        noteClaim(member.entry, member.entry.claimsPrimary);
        members[row.key] = member;
        logEvent("member.known", {{"member", entry->id},
                                  {"group", entry->group},
                                  {"zone", entry->zone},
                                  {"leaving", member.entry.isLeaving},
                                  {"primary", entry->claimsPrimary},
                                  {"row_version", toString(row.version)}});
    }
    publication.schedule();
}

// The traffic thread finds peers in the view it was last given, so a pending publication goes
// first: otherwise it would not know a VM whose row was read just now.
void Control::State::sendToPeer(const std::string &vm, const peer::v1::Frame &frame)
{
    publication.flush();
    traffic->sendToPeer(vm, frame);
}

void Control::State::publish()
{
    auto next = std::make_shared<FleetView>();
    next->routing = routing;
    next->members = members;
    setColdPhases(next->members);
    for (const auto &[id, member] : members) {
        next->membersOfGroup[member.entry.group].push_back(id);
    }
    for (const auto &[name, group] : groups) {
        if (group.record.epoch == 0) {
            continue;
        }
        next->groups[name] = group.record;
        if (!group.isConfirmed) {
            next->recordsProvenUntil[name] = group.provenUntil;
        }
    }
    next->vms = vmRecords();
    if (settings.evacuationLimit > Duration::zero()) {
        next->evacuatedZones = evacuations.inForce;
    }
    next->wasRegisteredBeforeStart = wasRegisteredBeforeStart;
    view = next;
    traffic->publish(view);
}

void Control::State::storeVmRow(bool leaving, std::function<void(bool)> done)
{
    const std::string key = std::string(VmKeyPrefix) + settings.name;
    const VmRecord record{
        settings.name,     traffic->peerAddress(),      settings.place, incarnation, leaving,
        settings.linkMbps, fleetFollower->version().era};
    const auto &rows = fleetFollower->rows();
    const auto known = rows.find(key);
    const StoreVersion seen = known == rows.end() ? StoreVersion{} : known->second.version;
    RowTransaction transaction;
    transaction.conditions.push_back({FleetTable, key, std::max(seen, ownRowVersion)});
    transaction.writes.push_back({FleetTable, key, encodeVmRecord(record), {}, false});
    store.change(std::move(transaction), StoreTimeout,
                 [this, record, done = std::move(done)](const RowResult<StoreVersion> &result) {
                     if (result) {
                         ownRowVersion = *result;
                         vms[record.name] = record;
                         publication.schedule();
                     }
                     done(result.has_value());
                 });
}

// Whether the store holds this process's row as it should be. Another VM may have erased it because
// this one seemed gone, or the store may have come back from an older copy.
bool Control::State::isOwnRowStored() const
{
    const auto &rows = fleetFollower->rows();
    const auto row = rows.find(std::string(VmKeyPrefix) + settings.name);
    if (row == rows.end()) {
        return false;
    }
    const auto record = decodeVmRecord(row->second.value);
    return record && record->incarnation == incarnation && record->isLeaving == isHandedOver;
}

void Control::State::registerVm()
{
    if (isOwnRowStored()) {
        isRegistered = true;
        logEvent("vm.registered", {{"vm", settings.name}, {"incarnation", incarnation}});
        return;
    }
    if (isRegistering || (isLeaving && !isHandedOver)) {
        return;
    }
    isRegistering = true;
    // If the outcome is unknown, the feed shows the row, or it is written again.
    storeVmRow(isHandedOver, [this, leaving = isHandedOver](bool stored) {
        if (leaving) {
            logEvent("vm.leaving_stored", {{"stored", stored}});
        }
        if (!stored) {
            schedule(StoreRetryDelay, [this] { isRegistering = false; });
            return;
        }
        isRegistering = false;
        // The VM may have handed over while its row was written.
        isRegistered = leaving == isHandedOver;
        logEvent("vm.registered", {{"vm", settings.name}, {"incarnation", incarnation}});
    });
}

} // namespace gentianplank
