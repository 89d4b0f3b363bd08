#include "gentianplank/node/control_state.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/base/rendezvous.h"
#include "gentianplank/platform/documents.h"
#include "gentianplank/platform/names.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace gentianplank {

namespace asio = boost::asio;

namespace {

// How long the store waits before it answers a feed without changes. The configuration's proof
// lasts 4.7 s and the primaries' 3 s; each must be renewed in time though one answer is lost, which
// shows 0.7 s after it was due. Members that leave must be known within 7 s.
constexpr Duration ConfigurationWait = std::chrono::milliseconds(2900);
constexpr Duration FleetWait = std::chrono::milliseconds(1800);
constexpr Duration MemberWait = std::chrono::milliseconds(4000);
// In a larger zone, only the relays ask the store; the others are told by them.
constexpr size_t LargestZoneWithoutRelays = 3;
constexpr size_t RelaysOfZone = 2;
// Until a fleet that starts at once has seen all its rows, its VMs would follow each other.
constexpr Duration RelaysSettle = std::chrono::milliseconds(1000);

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

FollowListener
Control::State::listenerOf(const std::string &table,
                           std::function<void(const std::vector<StoredRow> &)> onChanges,
                           std::function<void(BootInstant)> onProof)
{
    FollowListener listener;
    listener.onChanges = std::move(onChanges);
    listener.onProof = std::move(onProof);
    listener.onReachable = [this, table](bool isReachable, const std::string &what) {
        logEvent(isReachable ? "store.reached" : "store.lost", {{"table", table}, {"what", what}});
        const TableFollower *follower = followerOf(table);
        if (!isReachable && follower != nullptr) {
            relay.advanced(table, *follower);
        }
    };
    return listener;
}

void Control::State::follow()
{
    const Scheduler scheduler = [this](Duration delay, std::function<void()> task) {
        schedule(delay, std::move(task));
    };
    FollowSettings figures;
    figures.wait = ConfigurationWait;
    configurationFollower = std::make_unique<TableFollower>(
        followed, scheduler, platform::OperatorTable, figures,
        listenerOf(
            platform::OperatorTable,
            [this](const std::vector<StoredRow> &rows) { takeConfiguration(rows); },
            [this](BootInstant at) {
                proofs.configuration = at;
                traffic->prove(proofs);
                relay.advanced(platform::OperatorTable, *configurationFollower);
            }));
    figures.wait = MemberWait;
    memberFollower = std::make_unique<TableFollower>(
        followed, scheduler, platform::MemberTable, figures,
        listenerOf(
            platform::MemberTable,
            [this](const std::vector<StoredRow> &rows) { takeMembers(rows); },
            [this](BootInstant at) {
                memberProof = at;
                relay.advanced(platform::MemberTable, *memberFollower);
            }));
    figures.wait = FleetWait;
    fleetFollower = std::make_unique<TableFollower>(
        followed, scheduler, FleetTable, figures,
        listenerOf(
            FleetTable, [this](const std::vector<StoredRow> &rows) { takeFleet(rows); },
            [this](BootInstant at) {
                proofs.fleet = at;
                traffic->prove(proofs);
                relay.advanced(FleetTable, *fleetFollower);
                if (!isRegistered) {
                    registerVm();
                }
            }));
    configurationFollower->start();
    memberFollower->start();
    fleetFollower->start();
}

SecondHandEnvironment Control::State::secondHandEnvironment()
{
    SecondHandEnvironment environment;
    environment.relay = [this] { return relayToFollow(); };
    environment.send = [this](const std::string &vm, const peer::v1::Frame &frame) {
        traffic->sendToPeer(vm, frame);
    };
    environment.schedule = [this](Duration delay, std::function<void()> task) {
        schedule(delay, std::move(task));
    };
    return environment;
}

// The VM of the zone that tells this one what the store says; nothing for those who ask it.
std::optional<std::string> Control::State::relayToFollow() const
{
    std::vector<std::string> names;
    for (const auto &[name, record] : vms) {
        if (record.place.zone == settings.place.zone && !record.isLeaving) {
            names.push_back(name);
        }
    }
    const bool isSettled = isRegistered && bootNow() - startedAt > RelaysSettle;
    if (names.size() <= LargestZoneWithoutRelays || !isSettled || isLeaving) {
        return std::nullopt;
    }
    const auto ranked = rankByRendezvous("relay/" + settings.place.zone, names);
    const auto first = ranked.begin();
    const auto last = first + RelaysOfZone;
    if (std::find(first, last, settings.name) != last) {
        return std::nullopt;
    }
    return ranked[incarnation % RelaysOfZone];
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

void Control::State::takeConfiguration(const std::vector<StoredRow> &rows)
{
    for (const StoredRow &row : rows) {
        if (row.key != platform::ConfigurationKey || row.erased) {
            continue;
        }
        auto decoded = platform::decodeConfiguration(row.value);
        if (!decoded) {
            logEvent("configuration.unreadable",
                     {{"row_version", row.version}, {"why", decoded.error()}});
            continue;
        }
        if (routing && decoded->revision < routing->revision) {
            logEvent("configuration.older",
                     {{"revision", decoded->revision}, {"in_force", routing->revision}});
            continue;
        }
        routing = std::make_shared<const Routing>(std::move(*decoded));
        logEvent("configuration.in_force", {{"revision", routing->revision},
                                            {"routes", routing->routes.size()},
                                            {"organisations", routing->organisations.size()}});
        publish();
    }
}

void Control::State::takeMembers(const std::vector<StoredRow> &rows)
{
    const BootInstant now = bootNow();
    for (const StoredRow &row : rows) {
        if (row.erased) {
            if (members.count(row.key) != 0) {
                absentSince.emplace(row.key, now);
            }
            continue;
        }
        const auto entry = platform::decodeMemberEntry(row.key, row.value);
        if (!entry) {
            logEvent("member.unreadable", {{"member", row.key}, {"why", entry.error()}});
            if (members.count(row.key) != 0) {
                absentSince.emplace(row.key, now);
            }
            continue;
        }
        absentSince.erase(row.key);
        const auto known = members.find(row.key);
        if (known != members.end() && known->second.entry == *entry) {
            continue;
        }
        MemberInView member;
        member.entry = *entry;
        const auto region = settings.regionOfZone.find(entry->zone);
        member.place = {entry->zone, region == settings.regionOfZone.end() ? "" : region->second};
        if (entry->isLeaving) {
            const bool wasLeaving =
                known != members.end() && known->second.leavingSince != BootInstant{};
            member.leavingSince = wasLeaving ? known->second.leavingSince : now;
        }
        members[row.key] = member;
        logEvent("member.known", {{"member", entry->id},
                                  {"group", entry->group},
                                  {"zone", entry->zone},
                                  {"leaving", entry->isLeaving},
                                  {"primary", entry->claimsPrimary},
                                  {"row_version", row.version}});
    }
    publishSoon();
}

void Control::State::takeFleet(const std::vector<StoredRow> &rows)
{
    for (const StoredRow &row : rows) {
        if (row.key.starts_with(VmKeyPrefix)) {
            const std::string name = row.key.substr(VmKeyPrefix.size());
            const auto record =
                row.erased ? tl::make_unexpected(std::string("erased")) : decodeVmRecord(row.value);
            if (record) {
                vms[name] = *record;
                wasKnownBefore =
                    wasKnownBefore || (name == settings.name && record->incarnation != incarnation);
            } else {
                vms.erase(name);
                // Others took this VM to be gone; it fills no part of a rate until it is back.
                isRegistered = isRegistered && name != settings.name;
            }
            if (relayToFollow()) {
                relay.dismissAll();
            }
        } else if (row.key.starts_with(GroupKeyPrefix)) {
            takeGroupRow(row);
        } else if (row.key == PromotionDutyKey && !row.erased) {
            if (const auto record = decodeDutyRecord(row.value)) {
                duty = *record;
                dutyVersion = row.version;
                holderHeardAt = bootNow();
                logEvent("duty.holder", {{"vm", duty.holder}, {"token", dutyVersion}});
            } else {
                logEvent("duty.unreadable", {{"why", record.error()}});
            }
        }
    }
    publishSoon();
}

void Control::State::takeGroupRow(const StoredRow &row)
{
    const std::string name = row.key.substr(GroupKeyPrefix.size());
    if (row.erased) {
        groups.erase(name);
        return;
    }
    const auto record = decodeGroupRecord(row.value);
    if (!record) {
        logEvent("group.unreadable", {{"group", name}, {"why", record.error()}});
        return;
    }
    GroupState &group = groups[name];
    group.record = *record;
    group.version = row.version;
    logEvent("group.record", {{"group", name},
                              {"epoch", record->epoch},
                              {"primary", record->primary},
                              {"changing", record->phase == GroupPhase::Changing},
                              {"writer", record->writer}});
}

void Control::State::publishSoon()
{
    if (!isPublishing) {
        isPublishing = true;
        asio::post(ioContext, [this] {
            isPublishing = false;
            publish();
        });
    }
}

void Control::State::publish()
{
    auto next = std::make_shared<FleetView>();
    next->routing = routing;
    next->members = members;
    for (const auto &[id, member] : members) {
        next->membersOfGroup[member.entry.group].push_back(id);
    }
    for (const auto &[name, group] : groups) {
        if (group.version != 0) {
            next->groups[name] = group.record;
        }
    }
    for (const auto &[name, record] : vms) {
        next->vms.push_back(record);
    }
    next->wasKnownBefore = wasKnownBefore;
    view = next;
    traffic->publish(view);
}

void Control::State::storeVmRow(bool leaving, std::function<void(bool)> done)
{
    const std::string key = std::string(VmKeyPrefix) + settings.name;
    const VmRecord record{settings.name, traffic->peerAddress(), settings.place, incarnation,
                          leaving};
    const auto &rows = fleetFollower->rows();
    const auto known = rows.find(key);
    RowTransaction transaction;
    transaction.conditions.push_back(
        {FleetTable, key, known == rows.end() ? 0 : known->second.version});
    transaction.writes.push_back({FleetTable, key, encodeVmRecord(record), 0, false});
    store.change(
        std::move(transaction), StoreTimeout,
        [done = std::move(done)](const RowResult<uint64_t> &result) { done(result.has_value()); });
}

void Control::State::registerVm()
{
    const auto own = vms.find(settings.name);
    if (own != vms.end() && own->second.incarnation == incarnation) {
        isRegistered = true;
        logEvent("vm.registered", {{"vm", settings.name}, {"incarnation", incarnation}});
        return;
    }
    if (isRegistering || isLeaving) {
        return;
    }
    isRegistering = true;
    // The feed shows the row; a call whose outcome is unknown is simply made again.
    storeVmRow(false,
               [this](bool) { schedule(StoreRetryPause, [this] { isRegistering = false; }); });
}

} // namespace gentianplank
