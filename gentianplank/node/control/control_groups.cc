#include "gentianplank/node/control/control_state.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/node/control/duty_writes.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace gentianplank {

namespace asio = boost::asio;

namespace {

// Peers asked whether they reach a member that one VM can't reach, and how long they have.
constexpr size_t AskedPeers = 6;
constexpr Duration ConfirmationTime = std::chrono::milliseconds(450);
// A suspicion is passed on, or looked into, once in this time.
constexpr Duration SuspicionPause = std::chrono::milliseconds(200);
// A change that failed is not begun again at once.
constexpr Duration ChangePause = std::chrono::milliseconds(300);
// An old primary that can't be reached is told to step down again, for about as long as it may take
// to come back.
constexpr Duration DemotePause = std::chrono::seconds(1);
constexpr int DemoteTries = 8;

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
    if (group.change || now < group.notBefore || !knowsAllWrites(group)) {
        return;
    }
    if (group.version == 0) {
        createRecord(name);
        return;
    }
    if (group.record.phase == GroupPhase::Changing) {
        beginChange(name, group.record.isOrderly ? ChangeCause::Leaving : ChangeCause::Other,
                    "a change was left unfinished");
        return;
    }
    const auto member = members.find(group.record.primary);
    if (member == members.end()) {
        beginChange(name, ChangeCause::Other, "the primary is gone");
        return;
    }
    if (member->second.entry.startedAtMs != group.record.primaryStartedAtMs) {
        beginChange(name, ChangeCause::Other, "the primary started anew");
        return;
    }
    const bool hasOther = std::any_of(members.begin(), members.end(), [&](const auto &it) {
        return it.second.entry.group == name && it.first != group.record.primary &&
               !it.second.entry.isLeaving;
    });
    if (member->second.entry.isLeaving && hasOther) {
        beginChange(name, ChangeCause::Leaving, "the primary leaves");
    }
}

bool Control::State::knowsAllWrites(const GroupState &group) const
{
    return showsAllWrites(fleetFollower->provenAt(), group.writtenAt, dutyTakenAt);
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
    record.primaryStartedAtMs = primary->startedAtMs;
    record.writer = settings.name;
    storeRecord(record, 0, [name](const RowResult<uint64_t> &result) {
        logEvent("group.created",
                 {{"group", name}, {"outcome", result ? "stored" : result.error().what}});
    });
}

void Control::State::storeRecord(const GroupRecord &record, uint64_t version,
                                 std::function<void(RowResult<uint64_t>)> done)
{
    if (!holdsDuty()) {
        // The new holder takes the change up; what this VM saw of the members may be older.
        done(tl::make_unexpected(
            RowError{RowFault::ConditionFailed, "the duty is held by another VM", {}}));
        return;
    }
    store.change(groupRecordWrite(record, version, dutyVersion), StoreTimeout,
                 [this, name = record.group, done = std::move(done)](RowResult<uint64_t> result) {
                     groups[name].writtenAt = bootNow();
                     done(std::move(result));
                 });
}

void Control::State::beginChange(const std::string &name, ChangeCause cause,
                                 const std::string &reason)
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
    group.change->start(cause, reason);
}

// The holder of the duty takes up what this VM had begun when it held it.
void Control::State::abandonChanges()
{
    for (auto &[name, group] : groups) {
        if (group.change) {
            group.change->abandon("the duty is held by another VM");
        }
    }
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
            sendToPeer(name, frame);
        }
    };
    environment.store = [this](const GroupRecord &record, uint64_t version,
                               std::function<void(RowResult<uint64_t>)> done) {
        storeRecord(record, version, std::move(done));
    };
    environment.promote = [this](const std::string &group, uint64_t version,
                                 const std::string &member,
                                 std::function<void(platform::PromotionAnswer, std::string)> done) {
        promote(group, version, member, std::move(done));
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
        sendToPeer(duty.holder, frame);
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
        sendToPeer(name, frame);
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
                         group.record.phase == GroupPhase::Serving && !group.change &&
                         knowsAllWrites(group);
    if (!isReachable && isStill && holdsDuty()) {
        beginChange(confirmation->group, ChangeCause::Unreachable, "no VM reaches the primary");
    }
}

} // namespace gentianplank
