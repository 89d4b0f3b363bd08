#include "gentianplank/node/control.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/base/rendezvous.h"
#include "gentianplank/node/feed_relay.h"
#include "gentianplank/node/member_probe.h"
#include "gentianplank/node/primary_change.h"
#include "gentianplank/platform/documents.h"
#include "gentianplank/platform/http_row_store.h"
#include "gentianplank/platform/names.h"
#include "gentianplank/store/table_follower.h"
#include "gentianplank/vm/absence.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <thread>

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
constexpr Duration StoreTimeout = std::chrono::milliseconds(1500);
constexpr Duration StoreRetryPause = std::chrono::milliseconds(200);
// Entries that lapsed with the store are back within two seconds of its return.
constexpr Duration EntryAbsence = std::chrono::milliseconds(2300);
constexpr Duration TickInterval = std::chrono::milliseconds(100);
// The holder of the duty is asked for a sign of life this often by those next in line.
constexpr Duration DutyCheckInterval = std::chrono::milliseconds(400);
constexpr Duration DutyLost = std::chrono::milliseconds(1500);
constexpr size_t DutyCandidates = 3;
// Without word from the store for this long, the holder does not answer for the duty: longer than
// the feed's wait.
constexpr Duration DutyStoreSilence = std::chrono::milliseconds(2300);
// A promotion is sent at most this long after the proof that the duty is held, and reset when it
// has no answer after the second figure; whoever takes the duty over waits for both.
constexpr Duration DutyProofAge = std::chrono::milliseconds(250);
constexpr Duration PromotionTimeout = std::chrono::milliseconds(600);
constexpr Duration DutyHandOver = std::chrono::milliseconds(1000);
// Numbers of probes that ask for no member: whether the holder of the duty can do it, and whether a
// VM runs.
constexpr uint64_t DutyProbe = 0;
constexpr uint64_t LifeProbe = 1;
// Peers asked whether they reach a member that one VM can't reach, and how long they have.
constexpr size_t AskedPeers = 6;
constexpr Duration ConfirmationTime = std::chrono::milliseconds(450);
constexpr Duration SuspicionPause = std::chrono::milliseconds(200);
// A change that failed is not begun again at once.
constexpr Duration ChangePause = std::chrono::milliseconds(300);
constexpr Duration DemotePause = std::chrono::seconds(1);
constexpr int DemoteTries = 8;

struct GroupState
{
    GroupRecord record;
    uint64_t version = 0;
    std::shared_ptr<PrimaryChange> change;
    BootInstant notBefore{};
    bool isConfirming = false;
    BootInstant suspectedAt{};
    BootInstant suspicionSentAt{};
};

// One question to several VMs whether they reach a member.
struct Confirmation
{
    std::string group;
    std::string member;
    size_t outstanding = 0;
    size_t unreachable = 0;
    bool hasEnded = false;
};

} // namespace

struct Control::State : std::enable_shared_from_this<Control::State>
{
    State(EntryVmSettings vmSettings, uint64_t number)
        : settings(std::move(vmSettings))
        , incarnation(number)
        , work(asio::make_work_guard(ioContext))
        , storeCaller(ioContext, settings.storeAddress)
        , promotionCaller(ioContext, settings.promotionAddress)
        , store(storeCaller)
        , followed(store, secondHandEnvironment())
        , tickTimer(ioContext)
    {}

    // What the store says.
    void follow();
    FollowListener listenerOf(const std::string &table,
                              std::function<void(const std::vector<StoredRow> &)> onChanges,
                              std::function<void(BootInstant)> onProof);
    void takeConfiguration(const std::vector<StoredRow> &rows);
    void takeMembers(const std::vector<StoredRow> &rows);
    void takeFleet(const std::vector<StoredRow> &rows);
    void takeGroupRow(const StoredRow &row);
    void publishSoon();
    void publish();

    SecondHandEnvironment secondHandEnvironment();
    std::optional<std::string> relayToFollow() const;
    const TableFollower *followerOf(const std::string &table) const;

    // This VM's own row.
    void registerVm();
    void storeVmRow(bool isLeaving, std::function<void(bool)> done);

    // The duty.
    void tick();
    void considerDuty();
    bool holdsDuty() const;
    std::vector<std::string> dutyRanking() const;
    void takeDuty();
    void promote(const std::string &group, const std::string &member,
                 std::function<void(platform::PromotionAnswer, std::string)> done);

    // Erases the rows of VMs that are gone for good, so that their parts of the rates are free.
    void superviseVms();
    void eraseVm(const std::string &name);

    // The groups' primaries.
    void superviseGroups();
    void superviseGroup(const std::string &name, GroupState &group);
    void createRecord(const std::string &name);
    void beginChange(const std::string &name, bool isOrderly, const std::string &reason);
    PrimaryChangeEnvironment changeEnvironment();
    void storeRecord(const GroupRecord &record, uint64_t version,
                     std::function<void(RowResult<uint64_t>)> done);
    void suspect(const std::string &group, const std::string &member);
    void confirm(const std::string &group, const std::string &member);
    void confirmed(const std::shared_ptr<Confirmation> &confirmation, bool isReachable);
    void demote(const MemberEntry &member, uint64_t term, int tries);

    void schedule(Duration delay, std::function<void()> task);
    void takeRequest(const peer::v1::Frame &frame,
                     const std::function<void(const peer::v1::Frame &)> &reply);
    void takeReply(const std::string &vm, const peer::v1::Frame &frame);

    EntryVmSettings settings;
    uint64_t incarnation;
    asio::io_context ioContext;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    HttpCaller storeCaller;
    HttpCaller promotionCaller;
    platform::HttpRowStore store;
    SecondHandRowStore followed;
    FeedRelay relay;
    asio::steady_timer tickTimer;
    Traffic *traffic = nullptr;
    std::thread thread;

    std::unique_ptr<TableFollower> configurationFollower;
    std::unique_ptr<TableFollower> memberFollower;
    std::unique_ptr<TableFollower> fleetFollower;
    std::shared_ptr<const Routing> routing;
    std::map<std::string, MemberInView, std::less<>> members;
    // Entries that are missing, and since when.
    std::map<std::string, BootInstant> absentSince;
    std::map<std::string, VmRecord> vms;
    std::map<std::string, GroupState> groups;
    std::shared_ptr<const FleetView> view = std::make_shared<FleetView>();
    FleetProofs proofs;
    BootInstant memberProof{};
    BootInstant startedAt{};
    bool isPublishing = false;
    bool isRegistering = false;
    bool isRegistered = false;
    bool wasKnownBefore = false;
    bool isLeaving = false;
    bool isHandedOver = false;

    DutyRecord duty;
    uint64_t dutyVersion = 0;
    BootInstant dutyTakenAt{};
    bool isTakingDuty = false;
    // A holder whose process is known to have ended can't send a late call.
    bool mayPromoteAtOnce = false;
    BootInstant holderHeardAt{};
    BootInstant holderAskedAt{};
    uint64_t nextProbe = LifeProbe + 1;
    VmAbsence absence;
    std::map<uint64_t, std::shared_ptr<Confirmation>> confirmations;
};

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
    for (const auto &[name, group] : groups) {
        if (group.version != 0) {
            next->groups[name] = group.record;
        }
    }
    for (const auto &[name, record] : vms) {
        next->vms.push_back(record);
    }
    next->dutyHolder = duty.holder;
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

void Control::State::tick()
{
    const BootInstant now = bootNow();
    std::vector<std::string> gone;
    for (const auto &[id, since] : absentSince) {
        if (now - since > EntryAbsence && memberProof > since + EntryAbsence / 2) {
            gone.push_back(id);
        }
    }
    for (const std::string &id : gone) {
        absentSince.erase(id);
        members.erase(id);
        logEvent("member.gone", {{"member", id}});
        publishSoon();
    }
    if (!isRegistered && fleetFollower->provenAt() != BootInstant{}) {
        registerVm();
    }
    if (isRegistered && !isHandedOver) {
        considerDuty();
        if (holdsDuty()) {
            superviseGroups();
            superviseVms();
        }
    }
    tickTimer.expires_after(TickInterval);
    tickTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            tick();
        }
    });
}

bool Control::State::holdsDuty() const
{
    return dutyVersion != 0 && duty.holder == settings.name && duty.incarnation == incarnation;
}

std::vector<std::string> Control::State::dutyRanking() const
{
    std::vector<std::string> names;
    for (const auto &[name, record] : vms) {
        if (!record.isLeaving) {
            names.push_back(name);
        }
    }
    return rankByRendezvous(PromotionDutyKey, names);
}

// Takes the duty when its holder is gone and this VM is next in line.
void Control::State::considerDuty()
{
    if (holdsDuty() || isTakingDuty || isLeaving) {
        return;
    }
    const BootInstant now = bootNow();
    auto ranking = dutyRanking();
    const auto holder = vms.find(duty.holder);
    const bool isGone = dutyVersion == 0 || holder == vms.end() || holder->second.isLeaving ||
                        holder->second.incarnation != duty.incarnation;
    std::erase(ranking, duty.holder);
    const auto place = std::find(ranking.begin(), ranking.end(), settings.name);
    const auto rank = static_cast<size_t>(place - ranking.begin());
    if (rank >= DutyCandidates && !isGone) {
        return;
    }
    if (!isGone && now - holderAskedAt > DutyCheckInterval) {
        // After a pause of this process, the holder first gets the chance to answer.
        if (now - holderAskedAt > DutyLost) {
            holderHeardAt = now;
        }
        holderAskedAt = now;
        peer::v1::Frame frame;
        frame.mutable_probe()->set_number(DutyProbe);
        traffic->sendToPeer(duty.holder, frame);
    }
    // Those further down the line wait longer, in case the ones before them are gone too.
    const Duration patience =
        (isGone ? Duration::zero() : DutyLost) + DutyCheckInterval * static_cast<int64_t>(rank);
    if (isGone ? now - std::max(holderHeardAt, holderAskedAt) < patience
               : now - holderHeardAt < patience) {
        return;
    }
    takeDuty();
}

void Control::State::takeDuty()
{
    isTakingDuty = true;
    const auto holder = vms.find(duty.holder);
    mayPromoteAtOnce =
        dutyVersion == 0 || (holder != vms.end() && holder->second.incarnation != duty.incarnation);
    RowTransaction transaction;
    transaction.conditions.push_back({FleetTable, PromotionDutyKey, dutyVersion});
    transaction.writes.push_back(
        {FleetTable, PromotionDutyKey, encodeDutyRecord({settings.name, incarnation}), 0, false});
    logEvent("duty.take", {{"from", duty.holder}, {"token", dutyVersion}});
    store.change(std::move(transaction), StoreTimeout, [this](const RowResult<uint64_t> &result) {
        dutyTakenAt = bootNow();
        if (result) {
            duty = {settings.name, incarnation};
            dutyVersion = *result;
        }
        // Without an answer, the feed shows who holds it.
        schedule(StoreRetryPause, [this] { isTakingDuty = false; });
    });
}

// Calls the platform only with a proof made just before that the duty is still held.
void Control::State::promote(const std::string &group, const std::string &member,
                             std::function<void(platform::PromotionAnswer, std::string)> done)
{
    const bool isTooEarly = !mayPromoteAtOnce && bootNow() - dutyTakenAt < DutyHandOver;
    if (!holdsDuty() || isTooEarly) {
        done(platform::PromotionAnswer::NotDone, "the duty is not held long enough");
        return;
    }
    const BootInstant sentAt = bootNow();
    store.read(
        {FleetTable, PromotionDutyKey}, StoreTimeout,
        [this, group, member, sentAt, done = std::move(done)](const RowResult<RowSet> &result) {
            const bool isHeld = result && !result->rows.empty() &&
                                result->rows.front().key == PromotionDutyKey &&
                                result->rows.front().version == dutyVersion && holdsDuty();
            if (!isHeld || bootNow() - sentAt > DutyProofAge) {
                done(platform::PromotionAnswer::NotDone, "the duty could not be proven");
                return;
            }
            platform::callPromotion(promotionCaller, group, member, settings.name, dutyVersion,
                                    PromotionTimeout, done);
        });
}

void Control::State::superviseVms()
{
    std::vector<std::string> names;
    for (const auto &[name, record] : vms) {
        if (name != settings.name) {
            names.push_back(name);
        }
    }
    const BootInstant now = bootNow();
    for (const std::string &name : vmsToAsk(absence, names, now)) {
        peer::v1::Frame frame;
        frame.mutable_probe()->set_number(LifeProbe);
        traffic->sendToPeer(name, frame);
    }
    for (const std::string &name : vmsGone(absence, now)) {
        eraseVm(name);
    }
}

void Control::State::eraseVm(const std::string &name)
{
    const std::string key = std::string(VmKeyPrefix) + name;
    const auto row = fleetFollower->rows().find(key);
    if (row == fleetFollower->rows().end()) {
        return;
    }
    logEvent("vm.gone", {{"vm", name}, {"row_version", row->second.version}});
    RowTransaction transaction;
    transaction.conditions.push_back({FleetTable, key, row->second.version});
    transaction.erasures.push_back({FleetTable, key, row->second.version});
    // Without an answer, the feed shows whether the row is there, and the VM is asked again.
    store.change(std::move(transaction), StoreTimeout, [name](const RowResult<uint64_t> &result) {
        if (!result) {
            logEvent("vm.gone_failed", {{"vm", name}, {"why", result.error().what}});
        }
    });
}

void Control::State::superviseGroups()
{
    if (!routing) {
        return;
    }
    for (const auto &[name, limits] : routing->groups) {
        superviseGroup(name, groups[name]);
    }
}

void Control::State::superviseGroup(const std::string &name, GroupState &group)
{
    const BootInstant now = bootNow();
    if (group.change || now < group.notBefore) {
        return;
    }
    if (group.version == 0) {
        createRecord(name);
        return;
    }
    if (group.record.phase == GroupPhase::Changing) {
        beginChange(name, group.record.isOrderly, "a change was left unfinished");
        return;
    }
    const auto member = members.find(group.record.primary);
    if (member == members.end()) {
        beginChange(name, false, "the primary is gone");
        return;
    }
    if (member->second.entry.bornAt != group.record.primaryBornAt) {
        beginChange(name, false, "the primary started anew");
        return;
    }
    const bool hasOther = std::any_of(members.begin(), members.end(), [&](const auto &it) {
        return it.second.entry.group == name && it.first != group.record.primary &&
               !it.second.entry.isLeaving;
    });
    if (member->second.entry.isLeaving && hasOther) {
        beginChange(name, true, "the primary leaves");
    }
}

// The first record of a group names the member that says it leads.
void Control::State::createRecord(const std::string &name)
{
    GroupState &group = groups[name];
    const MemberEntry *primary = nullptr;
    for (const auto &[id, member] : members) {
        if (member.entry.group == name && member.entry.claimsPrimary) {
            primary = &member.entry;
        }
    }
    if (primary == nullptr) {
        return;
    }
    group.notBefore = bootNow() + ChangePause;
    GroupRecord record;
    record.group = name;
    record.epoch = 1;
    record.primary = primary->id;
    record.primaryBornAt = primary->bornAt;
    record.writer = settings.name;
    storeRecord(record, 0, [name](const RowResult<uint64_t> &result) {
        logEvent("group.created",
                 {{"group", name}, {"outcome", result ? "stored" : result.error().what}});
    });
}

void Control::State::storeRecord(const GroupRecord &record, uint64_t version,
                                 std::function<void(RowResult<uint64_t>)> done)
{
    const std::string key = std::string(GroupKeyPrefix) + record.group;
    RowTransaction transaction;
    transaction.conditions.push_back({FleetTable, key, version});
    transaction.writes.push_back({FleetTable, key, encodeGroupRecord(record), 0, false});
    store.change(std::move(transaction), StoreTimeout, std::move(done));
}

void Control::State::beginChange(const std::string &name, bool isOrderly, const std::string &reason)
{
    GroupState &group = groups[name];
    group.change = std::make_shared<PrimaryChange>(
        changeEnvironment(), group.record, group.version, settings.name, [this, name](bool) {
            // The change calls this from within; it goes after it has returned.
            asio::post(ioContext, [this, name] {
                groups[name].change = nullptr;
                groups[name].notBefore = bootNow() + ChangePause;
            });
        });
    group.change->start(isOrderly, reason);
}

PrimaryChangeEnvironment Control::State::changeEnvironment()
{
    PrimaryChangeEnvironment environment;
    environment.view = [this] { return view; };
    environment.schedule = [this](Duration delay, std::function<void()> task) {
        schedule(delay, std::move(task));
    };
    environment.probe = [this](const MemberEntry &member, std::function<void(MemberProbe)> done) {
        probeMember(ioContext, member, std::move(done));
    };
    environment.demote = [this](const MemberEntry &member, uint64_t term) {
        demote(member, term, DemoteTries);
    };
    environment.notify = [this](const std::string &group, uint64_t epoch, bool isOrderly) {
        peer::v1::Frame frame;
        frame.mutable_epoch_notice()->set_group(group);
        frame.mutable_epoch_notice()->set_epoch(epoch);
        frame.mutable_epoch_notice()->set_orderly(isOrderly);
        for (const auto &[name, record] : vms) {
            traffic->sendToPeer(name, frame);
        }
    };
    environment.store = [this](const GroupRecord &record, uint64_t version,
                               std::function<void(RowResult<uint64_t>)> done) {
        storeRecord(record, version, std::move(done));
    };
    environment.promote = [this](const std::string &group, const std::string &member,
                                 std::function<void(platform::PromotionAnswer, std::string)> done) {
        promote(group, member, std::move(done));
    };
    return environment;
}

void Control::State::demote(const MemberEntry &member, uint64_t term, int tries)
{
    sendToMember(ioContext, member, platform::demoteText(term),
                 [this, member, term, tries](const MemberProbe &probe) {
                     if (probe.status || tries <= 1) {
                         return;
                     }
                     schedule(DemotePause,
                              [this, member, term, tries] { demote(member, term, tries - 1); });
                 });
}

// Tells the holder of the duty that this VM can't reach a primary, or looks into it itself.
void Control::State::suspect(const std::string &group, const std::string &member)
{
    const auto it = groups.find(group);
    if (it == groups.end() || it->second.record.primary != member ||
        it->second.record.phase != GroupPhase::Serving) {
        return;
    }
    const BootInstant now = bootNow();
    if (holdsDuty()) {
        if (!it->second.change && !it->second.isConfirming &&
            now - it->second.suspectedAt > SuspicionPause) {
            it->second.suspectedAt = now;
            confirm(group, member);
        }
        return;
    }
    if (now - it->second.suspicionSentAt > SuspicionPause) {
        it->second.suspicionSentAt = now;
        peer::v1::Frame frame;
        frame.mutable_suspicion()->set_group(group);
        frame.mutable_suspicion()->set_member(member);
        traffic->sendToPeer(duty.holder, frame);
    }
}

// Asks VMs of all zones whether they reach the member.
void Control::State::confirm(const std::string &group, const std::string &member)
{
    const auto entry = members.find(member);
    if (entry == members.end()) {
        return;
    }
    groups[group].isConfirming = true;
    auto confirmation = std::make_shared<Confirmation>();
    confirmation->group = group;
    confirmation->member = member;
    std::vector<std::string> asked;
    std::map<std::string, size_t> byZone;
    for (const std::string &name : dutyRanking()) {
        const size_t inZone = byZone[vms[name].place.zone]++;
        if (name != settings.name && inZone < 2 && asked.size() < AskedPeers) {
            asked.push_back(name);
        }
    }
    confirmation->outstanding = asked.size() + 1;
    for (const std::string &name : asked) {
        const uint64_t number = nextProbe++;
        confirmations[number] = confirmation;
        peer::v1::Frame frame;
        frame.mutable_probe()->set_number(number);
        frame.mutable_probe()->set_group(group);
        frame.mutable_probe()->set_member(member);
        traffic->sendToPeer(name, frame);
    }
    probeMember(ioContext, entry->second.entry, [this, confirmation](const MemberProbe &probe) {
        confirmed(confirmation, probe.isReachable);
    });
    schedule(ConfirmationTime, [this, confirmation] {
        confirmation->outstanding = 1;
        confirmed(confirmation, false);
    });
}

void Control::State::confirmed(const std::shared_ptr<Confirmation> &confirmation, bool isReachable)
{
    if (confirmation->hasEnded) {
        return;
    }
    --confirmation->outstanding;
    confirmation->unreachable += isReachable ? 0 : 1;
    if (!isReachable && confirmation->outstanding > 0) {
        return;
    }
    confirmation->hasEnded = true;
    std::erase_if(confirmations, [&](const auto &it) { return it.second == confirmation; });
    GroupState &group = groups[confirmation->group];
    group.isConfirming = false;
    logEvent("primary.suspected", {{"group", confirmation->group},
                                   {"member", confirmation->member},
                                   {"reachable", isReachable},
                                   {"unreachable_from", confirmation->unreachable}});
    const bool isStill = group.record.primary == confirmation->member &&
                         group.record.phase == GroupPhase::Serving && !group.change;
    if (!isReachable && isStill && holdsDuty()) {
        beginChange(confirmation->group, false, "no VM reaches the primary");
    }
}

void Control::State::takeRequest(const peer::v1::Frame &frame,
                                 const std::function<void(const peer::v1::Frame &)> &reply)
{
    if (frame.has_feed_ask()) {
        // Only who asks the store itself tells others, so that proofs make one way.
        const bool isRelay = !relayToFollow();
        relay.ask(frame.feed_ask(), isRelay ? followerOf(frame.feed_ask().table()) : nullptr,
                  reply);
    } else if (frame.has_suspicion()) {
        suspect(frame.suspicion().group(), frame.suspicion().member());
    } else if (frame.has_probe()) {
        peer::v1::Frame answer;
        answer.mutable_probe_answer()->set_number(frame.probe().number());
        const auto member = members.find(frame.probe().member());
        if (member == members.end()) {
            // A holder of the duty that lost the store can't do it; silence lets others take it.
            const bool hasStore =
                frame.probe().number() == LifeProbe ||
                (fleetFollower->isReachable() && bootNow() - proofs.fleet < DutyStoreSilence);
            if (!frame.probe().member().empty() || hasStore) {
                reply(answer);
            }
            return;
        }
        probeMember(ioContext, member->second.entry,
                    [answer, reply](const MemberProbe &probe) mutable {
                        answer.mutable_probe_answer()->set_reachable(probe.isReachable);
                        reply(answer);
                    });
    } else if (frame.has_epoch_notice()) {
        const auto &notice = frame.epoch_notice();
        peer::v1::Frame answer;
        answer.mutable_epoch_released()->set_group(notice.group());
        answer.mutable_epoch_released()->set_epoch(notice.epoch());
        traffic->releasePrimary(notice.group(), notice.epoch(), notice.orderly(),
                                [answer, reply] { reply(answer); });
    }
}

void Control::State::takeReply(const std::string &vm, const peer::v1::Frame &frame)
{
    if (frame.has_feed_answer()) {
        followed.takeAnswer(vm, frame.feed_answer());
    } else if (frame.has_probe_answer()) {
        if (vm == duty.holder && frame.probe_answer().number() == DutyProbe) {
            holderHeardAt = bootNow();
        }
        noteAlive(absence, vm);
        const auto it = confirmations.find(frame.probe_answer().number());
        if (it != confirmations.end()) {
            const auto confirmation = it->second;
            confirmations.erase(it);
            confirmed(confirmation, frame.probe_answer().reachable());
        }
    } else if (frame.has_epoch_released()) {
        const auto it = groups.find(frame.epoch_released().group());
        if (it != groups.end() && it->second.change) {
            it->second.change->released(vm, frame.epoch_released().epoch());
        }
    }
}

Control::Control(EntryVmSettings settings, uint64_t incarnation)
    : m_state(std::make_shared<State>(std::move(settings), incarnation))
{}

Control::~Control()
{
    join();
}

void Control::takeSuspicion(const std::string &group, const std::string &member)
{
    asio::post(m_state->ioContext,
               [state = m_state, group, member] { state->suspect(group, member); });
}

void Control::takeRequest(const peer::v1::Frame &frame,
                          std::function<void(const peer::v1::Frame &)> reply)
{
    asio::post(m_state->ioContext, [state = m_state, frame, reply = std::move(reply)] {
        state->takeRequest(frame, reply);
    });
}

void Control::takeReply(const std::string &vm, const peer::v1::Frame &frame)
{
    asio::post(m_state->ioContext, [state = m_state, vm, frame] { state->takeReply(vm, frame); });
}

void Control::takePeerLost(const std::string &vm)
{
    asio::post(m_state->ioContext, [state = m_state, vm] { state->followed.peerLost(vm); });
}

void Control::start(Traffic &traffic)
{
    m_state->traffic = &traffic;
    asio::post(m_state->ioContext, [state = m_state] {
        state->startedAt = bootNow();
        state->follow();
        state->tick();
    });
    m_state->thread = std::thread([state = m_state] { state->ioContext.run(); });
}

void Control::leave()
{
    asio::post(m_state->ioContext, [state = m_state] {
        if (state->isLeaving) {
            return;
        }
        state->isLeaving = true;
        logEvent("vm.leaving", {{"vm", state->settings.name}});
        state->traffic->stop();
    });
}

void Control::handOver()
{
    asio::post(m_state->ioContext, [state = m_state] {
        state->isHandedOver = true;
        state->storeVmRow(true, [](bool stored) {
            logEvent("vm.leaving_stored", {{"stored", stored}});
        });
    });
}

void Control::join()
{
    m_state->ioContext.stop();
    if (m_state->thread.joinable()) {
        m_state->thread.join();
    }
}

} // namespace gentianplank
