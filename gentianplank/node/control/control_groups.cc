#include "gentianplank/node/control/control_state.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/node/control/duty_writes.h"
#include "gentianplank/node/control/settled_write.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace gentianplank {

namespace asio = boost::asio;

namespace {

// The number of peers that check whether a member is reachable, and the time limit of the check.
constexpr size_t MaxProbedPeers = 6;
constexpr Duration ReachabilityCheckTimeout = std::chrono::milliseconds(450);
// A suspicion is forwarded, or checked, at most once in this time.
constexpr Duration MinSuspicionInterval = std::chrono::milliseconds(200);
// The delay before a failed change is begun again.
constexpr Duration ChangeRetryDelay = std::chrono::milliseconds(300);
// How often a write that isn't answered is looked for in the feed.
constexpr Duration FeedCheckInterval = std::chrono::milliseconds(50);
// A primary that is too busy to answer is asked again this often before it is replaced.
constexpr Duration RecordCheckInterval = std::chrono::milliseconds(100);
constexpr int MaxRecordChecks = 4;
// How long the members' entries may differ from a group's record before the record is checked, how
// often that is repeated, and how many checks in a row must refute it.
constexpr Duration DisputeGrace = std::chrono::milliseconds(500);
constexpr Duration DisputeCheckInterval = std::chrono::seconds(2);
constexpr int MinRefutations = 2;
// An unreachable old primary is told to step down repeatedly, for about as long as it may take to
// come back.
constexpr Duration DemoteRetryInterval = std::chrono::seconds(1);
constexpr int MaxDemoteAttempts = 8;

} // namespace

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
    if (group.change || group.isCheckingRecord || now < group.nextChangeAt ||
        !knowsAllWrites(group)) {
        return;
    }
    if (group.record.epoch == 0) {
        createRecord(name);
        return;
    }
    if (!group.isConfirmed) {
        confirmRecord(name);
        return;
    }
    if (group.record.phase == GroupPhase::Changing) {
        beginChange(name, group.record.isOrderly ? ChangeCause::Leaving : ChangeCause::Other,
                    "the previous change of primary is unfinished");
        return;
    }
    const auto member = members.find(group.record.primary);
    if (member == members.end()) {
        beginChange(name, ChangeCause::Other, "the primary's entry is gone from the store");
        return;
    }
    if (member->second.entry.startedAtMs != group.record.primaryStartedAtMs) {
        beginChange(name, ChangeCause::Other, "the primary was restarted");
        return;
    }
    const bool mustLeave = member->second.entry.isLeaving || isEvacuated(member->second);
    if (mustLeave && hasOtherCandidate(name, group.record.primary)) {
        beginChange(name, ChangeCause::Leaving,
                    member->second.entry.isLeaving ? "the primary is leaving"
                                                   : "the primary's zone is evacuated");
        return;
    }
    checkDisputedRecord(name);
}

bool Control::State::knowsAllWrites(const GroupState &group) const
{
    return !group.isWriting &&
           showsAllWrites(fleetFollower->provenAt(), group.writtenAt, earlierHolderWroteUntil);
}

// The first record of a group names the member that claims to be primary.
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
    group.nextChangeAt = bootNow() + ChangeRetryDelay;
    GroupRecord record;
    record.group = name;
    record.primary = primary->id;
    record.primaryStartedAtMs = primary->startedAtMs;
    storeRecord(nextRecord(record, dutyVersion.era, settings.name), {},
                [name](const RowResult<StoreVersion> &result) {
                    logEvent(
                        "group.created",
                        {{"group", name}, {"outcome", result ? "stored" : result.error().what}});
                });
}

// Checks the record of an earlier era with the members, and stores it again unless they know of
// another primary.
void Control::State::confirmRecord(const std::string &name)
{
    GroupState &group = groups[name];
    if (group.record.phase == GroupPhase::Changing) {
        storeConfirmedRecord(name);
        return;
    }
    switch (confirmationOf(group, eraSeenAt, bootNow())) {
    case Confirmation::Check:
        break;
    case Confirmation::CheckLater:
        return;
    case Confirmation::Change:
        beginChange(name, ChangeCause::Unconfirmed,
                    "a change was announced in an earlier era of the store");
        return;
    }
    checkRecordWithMembers(name);
}

void Control::State::noteClaim(const MemberEntry &entry, bool claimsPrimary)
{
    std::set<std::string> &claimants = groups[entry.group].claimants;
    if (claimsPrimary) {
        claimants.insert(entry.id);
    } else {
        claimants.erase(entry.id);
    }
}

// Checks the record when the members' entries name another primary for longer than a change of
// primary takes to be reported. The entries themselves may be outdated.
void Control::State::checkDisputedRecord(const std::string &name)
{
    GroupState &group = groups[name];
    const BootInstant now = bootNow();
    const bool isDisputed =
        group.claimants.size() != 1 || *group.claimants.begin() != group.record.primary;
    if (!isDisputed) {
        group.disputedSince = {};
        return;
    }
    if (group.disputedSince == BootInstant{}) {
        group.disputedSince = now;
        group.refutations = 0;
    }
    const Duration interval = group.refutations == 0 ? DisputeCheckInterval : RecordCheckInterval;
    if (now - group.disputedSince >= DisputeGrace && now - group.disputeCheckedAt >= interval) {
        group.disputeCheckedAt = now;
        checkRecordWithMembers(name);
    }
}

void Control::State::checkRecordWithMembers(const std::string &name)
{
    GroupState &group = groups[name];
    std::vector<MemberEntry> probed;
    for (const auto &[id, member] : members) {
        if (member.entry.group == name) {
            probed.push_back(member.entry);
        }
    }
    if (probed.empty()) {
        return;
    }
    group.isCheckingRecord = true;
    const auto check = std::make_shared<RecordCheck>();
    check->outstanding = probed.size();
    for (const MemberEntry &entry : probed) {
        probeMember(ioContext, entry, [this, name, check, id = entry.id](const MemberProbe &probe) {
            if (probe.status) {
                check->answers.push_back({id, *probe.status});
            }
            if (--check->outstanding == 0) {
                endRecordCheck(name, *check);
            }
        });
    }
}

void Control::State::endRecordCheck(const std::string &name, const RecordCheck &check)
{
    GroupState &group = groups[name];
    group.isCheckingRecord = false;
    if (group.change || !holdsDuty()) {
        return;
    }
    const RecordVerdict verdict = checkRecord(group.record, check.answers);
    if (group.isConfirmed) {
        endDisputeCheck(name, verdict);
        return;
    }
    ++group.recordChecks;
    logEvent("group.record_check", {{"group", name},
                                    {"primary", group.record.primary},
                                    {"answers", check.answers.size()},
                                    {"checks", group.recordChecks},
                                    {"verdict", toString(verdict)}});
    if (verdict == RecordVerdict::Confirmed) {
        storeConfirmedRecord(name);
    } else if (verdict == RecordVerdict::Refuted || group.recordChecks >= MaxRecordChecks) {
        beginChange(name, ChangeCause::Unconfirmed,
                    "the members don't confirm the primary of an earlier era of the store");
    } else {
        group.nextChangeAt = bootNow() + RecordCheckInterval;
    }
}

// Replaces a primary that doesn't lead. One answer alone doesn't suffice.
void Control::State::endDisputeCheck(const std::string &name, RecordVerdict verdict)
{
    GroupState &group = groups[name];
    group.refutations = verdict == RecordVerdict::Refuted ? group.refutations + 1 : 0;
    logEvent("group.record_dispute", {{"group", name},
                                      {"epoch", group.record.epoch},
                                      {"primary", group.record.primary},
                                      {"claimants", group.claimants.size()},
                                      {"refutations", group.refutations},
                                      {"verdict", toString(verdict)}});
    const bool mayChange = group.record.phase == GroupPhase::Serving && knowsAllWrites(group);
    if (group.refutations >= MinRefutations && mayChange) {
        group.refutations = 0;
        beginChange(name, ChangeCause::Other,
                    "the primary doesn't lead, or a member knows of a later term");
    }
}

void Control::State::storeConfirmedRecord(const std::string &name)
{
    GroupState &group = groups[name];
    group.nextChangeAt = bootNow() + ChangeRetryDelay;
    group.recordChecks = 0;
    const GroupRecord record = confirmedRecord(group.record, dutyVersion.era, settings.name);
    storeRecord(record, group.version, [record](const RowResult<StoreVersion> &result) {
        logEvent("group.confirmed", {{"group", record.group},
                                     {"epoch", record.epoch},
                                     {"primary", record.primary},
                                     {"outcome", result ? "stored" : result.error().what}});
    });
}

// Stores a record. A write whose outcome is unknown is repeated, so that none is performed beside
// what follows.
void Control::State::storeRecord(const GroupRecord &record, const StoreVersion &version,
                                 std::function<void(RowResult<StoreVersion>)> done)
{
    groups[record.group].isWriting = true;
    SettledWrite write;
    write.key = std::string(GroupKeyPrefix) + record.group;
    write.value = encodeGroupRecord(record);
    write.attempt = [this, record, version,
                     ownDuty = dutyVersion](std::function<void(RowResult<StoreVersion>)> answered) {
        attemptRecordWrite(record, version, ownDuty, std::move(answered));
    };
    write.schedule = [this](Duration delay, std::function<void()> task) {
        schedule(delay, std::move(task));
    };
    writeUntilSettled(std::move(write), [this, name = record.group,
                                         done = std::move(done)](RowResult<StoreVersion> result) {
        groups[name].isWriting = false;
        done(std::move(result));
    });
}

void Control::State::attemptRecordWrite(const GroupRecord &record, const StoreVersion &version,
                                        const StoreVersion &ownDuty,
                                        std::function<void(RowResult<StoreVersion>)> answered)
{
    if (!holdsDuty() || dutyVersion != ownDuty) {
        // The new holder continues the change; what this VM knows of the members may be outdated.
        // The duty's row has changed, so that no earlier attempt can be performed any more.
        answered(tl::make_unexpected(
            RowError{RowFault::ConditionFailed, "another VM holds the promotion duty", {}}));
        return;
    }
    // The feed may show the row before the answer comes, or without one. A later version of it
    // means that no attempt is performed any more.
    const auto isEnded = std::make_shared<bool>(false);
    const auto end = [this, record, version, isEnded,
                      answered = std::move(answered)](RowResult<StoreVersion> result) {
        if (std::exchange(*isEnded, true)) {
            return;
        }
        groups[record.group].writtenAt = bootNow();
        logEvent("group.record_write",
                 {{"group", record.group},
                  {"epoch", record.epoch},
                  {"primary", record.primary},
                  {"changing", record.phase == GroupPhase::Changing},
                  {"expected_version", toString(version)},
                  {"outcome", result ? "stored" : result.error().what},
                  {"row_version", result ? toString(*result) : std::string()}});
        answered(std::move(result));
    };
    const auto checkFeed = [this, name = record.group, version, isEnded,
                            end](const auto &again) -> void {
        const GroupState &known = groups[name];
        if (!*isEnded && known.version > version) {
            const StoredRow row{FleetTable, std::string(GroupKeyPrefix) + name,
                                encodeGroupRecord(known.record), known.version, false};
            end(tl::make_unexpected(
                RowError{RowFault::ConditionFailed, "the feed shows a later version", {row}}));
        } else if (!*isEnded) {
            schedule(FeedCheckInterval, [again] { again(again); });
        }
    };
    store.change(groupRecordWrite(record, version, ownDuty), StoreTimeout, end);
    schedule(FeedCheckInterval, [checkFeed] { checkFeed(checkFeed); });
}

void Control::State::beginChange(const std::string &name, ChangeCause cause,
                                 const std::string &reason)
{
    GroupState &group = groups[name];
    group.recordChecks = 0;
    group.change = std::make_shared<PrimaryChange>(
        changeEnvironment(), group.record, group.version, settings.name, [this, name](bool) {
            // The change calls this from one of its own functions, so it is destroyed after they
            // have returned.
            asio::post(ioContext, [this, name] {
                groups[name].change = nullptr;
                groups[name].nextChangeAt = bootNow() + ChangeRetryDelay;
            });
        });
    group.change->start(cause, reason);
}

// The new holder of the duty continues the changes that this VM began.
void Control::State::abandonChanges()
{
    for (auto &[name, group] : groups) {
        if (group.change) {
            group.change->abandon("another VM holds the promotion duty");
        }
    }
}

PrimaryChangeEnvironment Control::State::changeEnvironment()
{
    PrimaryChangeEnvironment environment;
    environment.era = dutyVersion.era;
    environment.view = [this] { return view; };
    environment.schedule = [this](Duration delay, std::function<void()> task) {
        schedule(delay, std::move(task));
    };
    environment.probe = [this](const MemberEntry &member, std::function<void(MemberProbe)> done) {
        probeMember(ioContext, member, std::move(done));
    };
    environment.demote = [this](const MemberEntry &member, uint64_t term) {
        demote(member, term, MaxDemoteAttempts);
    };
    environment.notify = [this](const std::string &group, uint64_t epoch, bool isOrderly) {
        peer::v1::Frame frame;
        frame.mutable_epoch_notice()->set_group(group);
        frame.mutable_epoch_notice()->set_epoch(epoch);
        frame.mutable_epoch_notice()->set_orderly(isOrderly);
        for (const auto &[name, record] : vms) {
            sendToPeer(name, frame);
        }
    };
    environment.store = [this](const GroupRecord &record, const StoreVersion &version,
                               std::function<void(RowResult<StoreVersion>)> done) {
        storeRecord(record, version, std::move(done));
    };
    environment.promote = [this](const std::string &group, const StoreVersion &version,
                                 const std::string &member, BootInstant provenAt,
                                 std::function<void(platform::PromotionReply, std::string)> done) {
        promote(group, version, member, provenAt, std::move(done));
    };
    return environment;
}

void Control::State::demote(const MemberEntry &member, uint64_t term, int attempts)
{
    sendToMember(ioContext, member, platform::demoteText(term),
                 [this, member, term, attempts](const MemberProbe &probe) {
                     if (probe.status || attempts <= 1) {
                         return;
                     }
                     schedule(DemoteRetryInterval, [this, member, term, attempts] {
                         demote(member, term, attempts - 1);
                     });
                 });
}

// Reports an unreachable primary to the holder of the duty, or checks it when that is this VM.
void Control::State::handleSuspicion(const std::string &group, const std::string &member)
{
    const auto it = groups.find(group);
    if (it == groups.end() || it->second.record.primary != member ||
        it->second.record.phase != GroupPhase::Serving) {
        return;
    }
    const BootInstant now = bootNow();
    if (holdsDuty()) {
        if (!it->second.change && !it->second.isCheckingReachability &&
            now - it->second.suspectedAt > MinSuspicionInterval) {
            it->second.suspectedAt = now;
            checkReachability(group, member);
        }
        return;
    }
    if (now - it->second.suspicionSentAt > MinSuspicionInterval) {
        it->second.suspicionSentAt = now;
        peer::v1::Frame frame;
        frame.mutable_suspicion()->set_group(group);
        frame.mutable_suspicion()->set_member(member);
        sendToPeer(duty.holder, frame);
    }
}

// Asks up to two VMs of each zone whether they reach the member.
void Control::State::checkReachability(const std::string &group, const std::string &member)
{
    const auto entry = members.find(member);
    if (entry == members.end()) {
        return;
    }
    groups[group].isCheckingReachability = true;
    auto check = std::make_shared<ReachabilityCheck>();
    check->group = group;
    check->member = member;
    std::vector<std::string> probedPeers;
    std::map<std::string, size_t> byZone;
    for (const std::string &name : dutyRanking()) {
        const size_t inZone = byZone[vms[name].place.zone]++;
        if (name != settings.name && inZone < 2 && probedPeers.size() < MaxProbedPeers) {
            probedPeers.push_back(name);
        }
    }
    check->outstanding = probedPeers.size() + 1;
    for (const std::string &name : probedPeers) {
        const uint64_t number = nextProbe++;
        reachabilityChecks[number] = check;
        peer::v1::Frame frame;
        frame.mutable_probe()->set_number(number);
        frame.mutable_probe()->set_group(group);
        frame.mutable_probe()->set_member(member);
        sendToPeer(name, frame);
    }
    probeMember(ioContext, entry->second.entry, [this, check](const MemberProbe &probe) {
        recordReachability(check, probe.isReachable);
    });
    schedule(ReachabilityCheckTimeout, [this, check] {
        check->outstanding = 1;
        recordReachability(check, false);
    });
}

void Control::State::recordReachability(const std::shared_ptr<ReachabilityCheck> &check,
                                        bool isReachable)
{
    if (check->hasEnded) {
        return;
    }
    --check->outstanding;
    check->unreachable += isReachable ? 0 : 1;
    if (!isReachable && check->outstanding > 0) {
        return;
    }
    check->hasEnded = true;
    std::erase_if(reachabilityChecks, [&](const auto &it) { return it.second == check; });
    GroupState &group = groups[check->group];
    group.isCheckingReachability = false;
    logEvent("primary.suspected", {{"group", check->group},
                                   {"member", check->member},
                                   {"reachable", isReachable},
                                   {"unreachable_from", check->unreachable}});
    const bool isStillServing = group.record.primary == check->member &&
                                group.record.phase == GroupPhase::Serving && !group.change &&
                                knowsAllWrites(group);
    if (!isReachable && isStillServing && holdsDuty()) {
        beginChange(check->group, ChangeCause::Unreachable, "no probed VM can reach the primary");
    }
}

} // namespace gentianplank
