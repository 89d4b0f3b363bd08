#include "gentianplank/node/control/primary_change.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/node/control/known_group.h"
#include "gentianplank/node/control/primary_releases.h"
#include "gentianplank/node/control/primary_selection.h"

#include <algorithm>

namespace gentianplank {

namespace {

using Promotions = std::optional<std::vector<std::string>>;

// Covers the drift between the boot clocks of two machines over one lease, which is well below
// this.
constexpr Duration LeaseClockMargin = std::chrono::milliseconds(150);
constexpr Duration ReleaseCheckInterval = std::chrono::milliseconds(20);
constexpr Duration PollInterval = std::chrono::milliseconds(30);
// How long a change waits for a replica to reach the old primary's position. It then promotes the
// best replica regardless, and what only the old primary has is lost.
constexpr Duration CatchUpTimeout = std::chrono::milliseconds(1500);
// A promotion takes some hundred milliseconds, up to a second on a slow platform; after this time
// it is requested again.
constexpr Duration TakeoverTimeout = std::chrono::milliseconds(3000);
constexpr int MaxPromotions = 5;
// How long a change waits for an answer of members that may have been promoted if no replica can
// take over. They may be restarting, or busy.
constexpr Duration PromotedWait = std::chrono::milliseconds(7000);
constexpr Duration RetryDelay = std::chrono::milliseconds(100);

} // namespace

struct PrimaryChange::State
{
    void storeChanging();
    void awaitReleases();
    void probeMembers();
    void continueByReports();
    Selection select() const;
    void logSelection(const Selection &selection);
    uint32_t synchronousReplicasOfGroup() const;
    std::set<std::string> excludedMembers() const;
    const platform::MemberStatus *oldPrimaryStatus() const;
    void promote(const MemberReport &candidate);
    void requestPromotion(const MemberReport &candidate, const Promotions &earlier,
                          BootInstant provenAt);
    void handlePromotionReply(const MemberReport &candidate, const Promotions &earlier,
                              platform::PromotionReply answer);
    void awaitTakeover(const MemberReport &candidate);
    void handleFailedWrite(const RowError &error);
    void storeServing(const MemberEntry &member, uint64_t term);
    void demoteOthers(const GroupRecord &serving) const;
    void finish(bool succeeded, const std::string &what);
    template <typename Task>
    void scheduleTask(Duration delay, Task task);
    // Wraps a function of the state and a result. It isn't called after the change has ended.
    template <typename Handler>
    auto whileActive(Handler handler) const;

    std::weak_ptr<PrimaryChange> self;
    PrimaryChangeEnvironment environment;
    GroupRecord record;
    StoreVersion version;
    std::string ownName;
    std::function<void(bool)> onEnd;
    BootInstant begunAt{};
    BootInstant changingAt{};
    BootInstant probingSince{};
    BootInstant promotedAt{};
    int promotions = 0;
    // The record may lack promotions that were requested before the change.
    bool mayLackPromotions = false;
    PrimaryReleases releases;
    // The answers of the current round of probes.
    uint64_t probeRound = 0;
    size_t probesOutstanding = 0;
    bool skipsOldPrimary = false;
    std::vector<MemberReport> reports;
    // What was last logged of the reports.
    std::string loggedReports;
    std::set<std::string> refusedMembers;
    // The replicas of the group that were listed when this round of probes began.
    size_t listedReplicas = 0;
    // GroupRecord::promoted as it is stored. In `record`, promotions that had no effect are left
    // out.
    Promotions storedPromotions;
    // SelectionInput::lastAccepted.
    std::string lastAccepted;
    bool hasEnded = false;
};

template <typename Handler>
auto PrimaryChange::State::whileActive(Handler handler) const
{
    return [weak = self, handler](auto &&...results) {
        auto owner = weak.lock();
        if (owner && !owner->m_state->hasEnded) {
            handler(*owner->m_state, std::forward<decltype(results)>(results)...);
        }
    };
}

template <typename Task>
void PrimaryChange::State::scheduleTask(Duration delay, Task task)
{
    environment.schedule(delay, whileActive(task));
}

void PrimaryChange::State::storeChanging()
{
    GroupRecord changing = nextRecord(record, environment.era, ownName);
    changing.phase = GroupPhase::Changing;
    changing.promoted = mayLackPromotions ? Promotions() : Promotions(std::in_place);
    environment.store(
        changing, version, whileActive([changing](State &state, RowResult<StoreVersion> result) {
            if (!result) {
                state.finish(false, "could not store the group's record: " + result.error().what);
                return;
            }
            state.record = changing;
            state.storedPromotions = changing.promoted;
            state.version = *result;
            state.changingAt = bootNow();
            state.awaitReleases();
        }));
}

void PrimaryChange::State::awaitReleases()
{
    for (const VmRecord &it : environment.view()->vms) {
        releases.awaitedVms[it.name] = it.incarnation;
    }
    environment.notify(record.group, record.epoch, record.isOrderly);
    scheduleTask(ReleaseCheckInterval, [](State &state) {
        const auto check = [](State &it, const auto &again) -> void {
            const bool hasExpired =
                bootNow() - it.changingAt > PrimaryLeaseDuration + LeaseClockMargin;
            if (isReleasedByAll(it.releases, it.environment.view()->vms) || hasExpired) {
                logEvent("primary.given_up",
                         {{"group", it.record.group},
                          {"epoch", it.record.epoch},
                          {"by_lapse", hasExpired},
                          {"waited_ms", toMilliseconds(bootNow() - it.changingAt)}});
                it.probingSince = bootNow();
                it.probeMembers();
                return;
            }
            it.scheduleTask(ReleaseCheckInterval, [again](State &next) { again(next, again); });
        };
        check(state, check);
    });
}

// Queries the status of all members of the group.
void PrimaryChange::State::probeMembers()
{
    reports.clear();
    const auto view = environment.view();
    std::vector<MemberEntry> probedMembers;
    for (const auto &[id, member] : view->members) {
        if (member.entry.group == record.group) {
            probedMembers.push_back(member.entry);
        }
    }
    listedReplicas = static_cast<size_t>(
        std::count_if(probedMembers.begin(), probedMembers.end(),
                      [this](const MemberEntry &it) { return it.id != record.primary; }));
    const uint64_t ownRound = ++probeRound;
    const auto isAwaited = [this, skips = skipsOldPrimary](const MemberEntry &it) {
        return !skips || it.id != record.primary;
    };
    probesOutstanding =
        static_cast<size_t>(std::count_if(probedMembers.begin(), probedMembers.end(), isAwaited));
    // If no other member can take over, the next round waits for the old primary as well.
    skipsOldPrimary = false;
    if (probesOutstanding == 0) {
        scheduleTask(RetryDelay, [](State &state) { state.probeMembers(); });
        return;
    }
    for (const MemberEntry &entry : probedMembers) {
        environment.probe(entry, whileActive([entry, ownRound, awaited = isAwaited(entry)](
                                                 State &state, const MemberProbe &probe) {
                              if (state.probeRound != ownRound) {
                                  return;
                              }
                              state.reports.push_back({entry, probe.isReachable, probe.status});
                              if (awaited && --state.probesOutstanding == 0) {
                                  ++state.probeRound;
                                  state.continueByReports();
                              }
                          }));
    }
}

void PrimaryChange::State::continueByReports()
{
    const Selection selection = select();
    logSelection(selection);
    switch (selection.step) {
    case SelectionStep::Adopt:
    case SelectionStep::KeepOldPrimary:
        storeServing(selection.member->entry, selection.member->status->term);
        return;
    case SelectionStep::Promote:
        // The old primary's own term, unless it was promoted again.
        if (const auto *old = oldPrimaryStatus();
            old != nullptr && record.promoted && record.promoted->empty()) {
            record.term = std::max(record.term, old->term);
        }
        promote(MemberReport(*selection.member));
        return;
    case SelectionStep::AwaitPrimary:
    case SelectionStep::AwaitCatchUp:
        scheduleTask(PollInterval, [](State &state) { state.probeMembers(); });
        return;
    case SelectionStep::QueryAgain:
        refusedMembers.clear();
        scheduleTask(RetryDelay, [](State &state) { state.probeMembers(); });
        return;
    }
}

Selection PrimaryChange::State::select() const
{
    SelectionInput input{record, reports};
    input.listedReplicas = listedReplicas;
    input.synchronousReplicas = synchronousReplicasOfGroup();
    input.excludedMembers = excludedMembers();
    input.hasCatchUpExpired = bootNow() - probingSince > CatchUpTimeout;
    const Duration sinceLastPromotion = bootNow() - std::max(probingSince, promotedAt);
    input.arePromotionsSettled = sinceLastPromotion > TakeoverTimeout;
    input.hasPromotedWaitExpired = sinceLastPromotion > PromotedWait;
    input.lastAccepted = lastAccepted;
    return selectPrimary(input);
}

// A round that found the same as the one before is not logged again.
void PrimaryChange::State::logSelection(const Selection &selection)
{
    const std::string text = toString(reports) + " " + toString(selection.step);
    if (text == loggedReports) {
        return;
    }
    loggedReports = text;
    logEvent("primary.selection",
             {{"group", record.group},
              {"epoch", record.epoch},
              {"term", record.term},
              {"members", toString(reports)},
              {"step", toString(selection.step)},
              {"member", selection.member == nullptr ? "" : selection.member->entry.id}});
}

std::set<std::string> PrimaryChange::State::excludedMembers() const
{
    std::set<std::string> excluded = refusedMembers;
    const auto view = environment.view();
    for (const MemberReport &it : reports) {
        if (view->evacuatedZones.count(it.entry.zone) != 0) {
            excluded.insert(it.entry.id);
        }
    }
    return excluded;
}

const platform::MemberStatus *PrimaryChange::State::oldPrimaryStatus() const
{
    const MemberReport *old = findReport(reports, record.primary);
    return old != nullptr && old->status ? &*old->status : nullptr;
}

uint32_t PrimaryChange::State::synchronousReplicasOfGroup() const
{
    const auto view = environment.view();
    const GroupLimits *limits = view->routing ? view->routing->group(record.group) : nullptr;
    return limits == nullptr ? 0 : limits->synchronousReplicas;
}

// Stores that the member's promotion may have been requested, then requests it. Whoever continues
// the change knows of it then. The write also settles that the row is unchanged and the duty held.
void PrimaryChange::State::promote(const MemberReport &candidate)
{
    if (++promotions > MaxPromotions) {
        finish(false, "no promotion took effect after the maximum number of attempts");
        return;
    }
    const Promotions earlier = record.promoted;
    GroupRecord announced = record;
    addPromotion(announced, candidate.entry.id);
    if (announced.promoted == storedPromotions) {
        record.promoted = announced.promoted;
        requestPromotion(candidate, earlier, {});
        return;
    }
    announced = nextRecord(announced, environment.era, ownName);
    environment.store(announced, version,
                      whileActive([announced, candidate, earlier, sentAt = bootNow()](
                                      State &state, const RowResult<StoreVersion> &result) {
                          if (!result) {
                              state.handleFailedWrite(result.error());
                              return;
                          }
                          state.record = announced;
                          state.storedPromotions = announced.promoted;
                          state.version = *result;
                          state.requestPromotion(candidate, earlier, sentAt);
                      }));
}

// `earlier` are the promotions that may have been requested without this one, and `provenAt` is
// when the duty and the record's row were last proven.
void PrimaryChange::State::requestPromotion(const MemberReport &candidate,
                                            const Promotions &earlier, BootInstant provenAt)
{
    const auto *old = oldPrimaryStatus();
    logEvent("primary.promote", {{"group", record.group},
                                 {"member", candidate.entry.id},
                                 {"epoch", record.epoch},
                                 {"row_version", toString(version)},
                                 {"position_term", candidate.status->position.term},
                                 {"position", candidate.status->position.position},
                                 {"old_position", old == nullptr ? 0 : old->position.position}});
    lastAccepted.clear();
    environment.promote(
        record.group, version, candidate.entry.id, provenAt,
        whileActive([candidate, earlier](State &state, platform::PromotionReply answer,
                                         const std::string &what) {
            logEvent("primary.promotion_answer", {{"group", state.record.group},
                                                  {"member", candidate.entry.id},
                                                  {"answer", static_cast<int>(answer)},
                                                  {"what", what}});
            state.handlePromotionReply(candidate, earlier, answer);
        }));
}

void PrimaryChange::State::handlePromotionReply(const MemberReport &candidate,
                                                const Promotions &earlier,
                                                platform::PromotionReply answer)
{
    switch (answer) {
    case platform::PromotionReply::Accepted:
        lastAccepted = candidate.entry.id;
        [[fallthrough]];
    case platform::PromotionReply::Unknown:
        promotedAt = bootNow();
        awaitTakeover(candidate);
        return;
    case platform::PromotionReply::Refused:
        refusedMembers.insert(candidate.entry.id);
        record.promoted = earlier;
        break;
    case platform::PromotionReply::NotDone:
        record.promoted = earlier;
        break;
    }
    scheduleTask(RetryDelay, [](State &it) { it.probeMembers(); });
}

void PrimaryChange::State::awaitTakeover(const MemberReport &candidate)
{
    environment.probe(
        candidate.entry, whileActive([candidate](State &state, const MemberProbe &probe) {
            // A member that led before may go on in that term, although another one was promoted.
            const uint64_t ledTerm = candidate.status->isPrimary ? candidate.status->term : 0;
            if (probe.status && probe.status->isPrimary &&
                probe.status->term > std::max(state.record.term, ledTerm)) {
                state.storeServing(candidate.entry, probe.status->term);
                return;
            }
            if (bootNow() - state.promotedAt > TakeoverTimeout) {
                state.probeMembers();
                return;
            }
            state.scheduleTask(PollInterval,
                               [candidate](State &it) { it.awaitTakeover(candidate); });
        }));
}

void PrimaryChange::State::storeServing(const MemberEntry &member, uint64_t term)
{
    GroupRecord serving = nextRecord(record, environment.era, ownName);
    serving.phase = GroupPhase::Serving;
    serving.primary = member.id;
    serving.primaryStartedAtMs = member.startedAtMs;
    serving.term = term;
    serving.isOrderly = false;
    serving.promoted.reset();
    environment.store(serving, version, [weak = self, serving](RowResult<StoreVersion> result) {
        auto owner = weak.lock();
        if (!owner) {
            return;
        }
        State &state = *owner->m_state;
        if (!result) {
            state.handleFailedWrite(result.error());
            return;
        }
        state.demoteOthers(serving);
        state.finish(true, "the primary is " + serving.primary);
    });
}

// After NotDone the members may answer otherwise by now.
void PrimaryChange::State::handleFailedWrite(const RowError &error)
{
    if (error.fault == RowFault::NotDone) {
        scheduleTask(RetryDelay, [](State &state) { state.probeMembers(); });
        return;
    }
    finish(false, "could not store the group's record: " + error.what);
}

// Demotes every member that may lead an older term: the old primary, and those that may have been
// promoted before the new one.
void PrimaryChange::State::demoteOthers(const GroupRecord &serving) const
{
    for (const auto &[id, member] : environment.view()->members) {
        const bool mayLead = id == record.primary || mayHaveBeenPromoted(record, id);
        if (member.entry.group == serving.group && id != serving.primary && mayLead) {
            environment.demote(member.entry, serving.term);
        }
    }
}

void PrimaryChange::State::finish(bool succeeded, const std::string &what)
{
    if (hasEnded) {
        return;
    }
    hasEnded = true;
    logEvent("primary.change_end", {{"group", record.group},
                                    {"succeeded", succeeded},
                                    {"what", what},
                                    {"took_ms", toMilliseconds(bootNow() - begunAt)}});
    onEnd(succeeded);
}

PrimaryChange::PrimaryChange(PrimaryChangeEnvironment environment, GroupRecord record,
                             StoreVersion version, std::string ownName,
                             std::function<void(bool succeeded)> onEnd)
    : m_state(std::make_unique<State>())
{
    m_state->environment = std::move(environment);
    m_state->record = std::move(record);
    m_state->storedPromotions = m_state->record.promoted;
    m_state->version = version;
    m_state->ownName = std::move(ownName);
    m_state->onEnd = std::move(onEnd);
}

PrimaryChange::~PrimaryChange() = default;

void PrimaryChange::start(ChangeCause cause, const std::string &reason)
{
    const bool isOrderly = cause == ChangeCause::Leaving;
    m_state->skipsOldPrimary = cause == ChangeCause::Unreachable;
    m_state->mayLackPromotions = cause == ChangeCause::Unconfirmed;
    m_state->self = weak_from_this();
    m_state->begunAt = bootNow();
    logEvent("primary.change_begin", {{"group", m_state->record.group},
                                      {"primary", m_state->record.primary},
                                      {"epoch", m_state->record.epoch},
                                      {"orderly", isOrderly},
                                      {"why", reason}});
    if (m_state->record.phase == GroupPhase::Changing) {
        m_state->changingAt = bootNow();
        m_state->awaitReleases();
        return;
    }
    m_state->record.isOrderly = isOrderly;
    m_state->storeChanging();
}

void PrimaryChange::handleReleased(const std::string &vm, uint64_t epoch)
{
    if (epoch >= m_state->record.epoch) {
        m_state->releases.releasedBy.insert(vm);
    }
}

void PrimaryChange::abandon(const std::string &reason)
{
    m_state->finish(false, reason);
}

} // namespace gentianplank
