#include "gentianplank/node/control/primary_change.h"

#include "gentianplank/base/event_log.h"

#include <algorithm>

namespace gentianplank {

namespace {

// Two machines' boot clocks count a lease's seconds alike to well below this.
constexpr Duration LeaseMargin = std::chrono::milliseconds(150);
constexpr Duration ReleaseCheckInterval = std::chrono::milliseconds(20);
constexpr Duration PollInterval = std::chrono::milliseconds(30);
// How long an orderly change waits for a replica to hold everything. It then goes back to the old
// primary's lead being lost, as a disorderly change would.
constexpr Duration CatchUpPatience = std::chrono::milliseconds(1500);
// A promotion takes some hundred ms, at a slow platform a second; after this it is asked for again.
constexpr Duration LeadPatience = std::chrono::milliseconds(3000);
constexpr int MostPromotions = 5;
constexpr Duration RetryPause = std::chrono::milliseconds(100);

struct Candidate
{
    MemberEntry entry;
    platform::MemberStatus status;
};

} // namespace

struct PrimaryChange::State
{
    void storeChanging();
    void awaitReleases();
    bool isReleasedByAll() const;
    void compare();
    void compared();
    void promote(const Candidate &candidate);
    void awaitLead(const MemberEntry &member);
    void storeServing(const MemberEntry &member, uint64_t term);
    void demoteOld(uint64_t term) const;
    void end(bool succeeded, const std::string &what);
    template <typename Task>
    void later(Duration delay, Task task);

    std::weak_ptr<PrimaryChange> self;
    PrimaryChangeEnvironment environment;
    GroupRecord record;
    uint64_t version = 0;
    std::string ownName;
    std::function<void(bool)> onEnd;
    BootInstant begunAt{};
    BootInstant changingAt{};
    BootInstant comparingSince{};
    BootInstant promotedAt{};
    int promotions = 0;
    // The VMs that may use the old primary, with their incarnations.
    std::map<std::string, uint64_t> waitedFor;
    std::set<std::string> releasedBy;
    // Answers of one round of probes.
    uint64_t round = 0;
    size_t probesOutstanding = 0;
    bool isOldUnreachable = false;
    std::vector<Candidate> candidates;
    std::optional<platform::MemberStatus> oldPrimary;
    std::set<std::string> refused;
    bool hasEnded = false;
};

template <typename Task>
void PrimaryChange::State::later(Duration delay, Task task)
{
    environment.schedule(delay, [weak = self, task] {
        auto owner = weak.lock();
        if (owner && !owner->m_state->hasEnded) {
            task(*owner->m_state);
        }
    });
}

void PrimaryChange::State::storeChanging()
{
    GroupRecord changing = record;
    changing.epoch = record.epoch + 1;
    changing.phase = GroupPhase::Changing;
    changing.writer = ownName;
    environment.store(changing, version, [weak = self, changing](RowResult<uint64_t> result) {
        auto owner = weak.lock();
        if (!owner) {
            return;
        }
        State &state = *owner->m_state;
        if (!result) {
            // A write that may have taken effect is seen in the table and taken up from there.
            state.end(false, "the record was not stored: " + result.error().what);
            return;
        }
        state.record = changing;
        state.version = *result;
        state.changingAt = bootNow();
        state.awaitReleases();
    });
}

void PrimaryChange::State::awaitReleases()
{
    for (const VmRecord &it : environment.view()->vms) {
        waitedFor[it.name] = it.incarnation;
    }
    environment.notify(record.group, record.epoch, record.isOrderly);
    later(ReleaseCheckInterval, [](State &state) {
        const auto check = [](State &it, const auto &again) -> void {
            const bool hasLapsed = bootNow() - it.changingAt > PrimaryLeaseDuration + LeaseMargin;
            if (it.isReleasedByAll() || hasLapsed) {
                logEvent("primary.given_up",
                         {{"group", it.record.group},
                          {"epoch", it.record.epoch},
                          {"by_lapse", hasLapsed},
                          {"waited_ms", toMilliseconds(bootNow() - it.changingAt)}});
                it.comparingSince = bootNow();
                it.compare();
                return;
            }
            it.later(ReleaseCheckInterval, [again](State &next) { again(next, again); });
        };
        check(state, check);
    });
}

// A VM that started anew uses nothing that it did not read since.
bool PrimaryChange::State::isReleasedByAll() const
{
    const auto view = environment.view();
    return std::all_of(waitedFor.begin(), waitedFor.end(), [&](const auto &waited) {
        if (releasedBy.count(waited.first) != 0) {
            return true;
        }
        const auto it = std::find_if(view->vms.begin(), view->vms.end(),
                                     [&](const VmRecord &vm) { return vm.name == waited.first; });
        return it != view->vms.end() && it->incarnation != waited.second;
    });
}

// Asks all members where they stand.
void PrimaryChange::State::compare()
{
    candidates.clear();
    oldPrimary.reset();
    const auto view = environment.view();
    std::vector<MemberEntry> asked;
    for (const auto &[id, member] : view->members) {
        if (member.entry.group == record.group) {
            asked.push_back(member.entry);
        }
    }
    const uint64_t ownRound = ++round;
    const auto isAwaited = [this, skipsOld = isOldUnreachable](const MemberEntry &it) {
        return !skipsOld || it.id != record.primary;
    };
    probesOutstanding = static_cast<size_t>(std::count_if(asked.begin(), asked.end(), isAwaited));
    // Should nobody else be able to lead, its answer matters again.
    isOldUnreachable = false;
    if (probesOutstanding == 0) {
        later(RetryPause, [](State &state) { state.compare(); });
        return;
    }
    for (const MemberEntry &entry : asked) {
        environment.probe(entry, [weak = self, entry, ownRound,
                                  awaited = isAwaited(entry)](const MemberProbe &probe) {
            auto owner = weak.lock();
            if (!owner || owner->m_state->hasEnded || owner->m_state->round != ownRound) {
                return;
            }
            State &state = *owner->m_state;
            if (probe.status) {
                if (entry.id == state.record.primary) {
                    state.oldPrimary = probe.status;
                }
                state.candidates.push_back({entry, *probe.status});
            }
            if (awaited && --state.probesOutstanding == 0) {
                ++state.round;
                state.compared();
            }
        });
    }
}

void PrimaryChange::State::compared()
{
    // Someone leads a later term already: a promotion whose outcome was not known.
    for (const Candidate &it : candidates) {
        if (it.status.isPrimary && it.entry.id != record.primary && it.status.term > record.term) {
            storeServing(it.entry, it.status.term);
            return;
        }
    }
    const Candidate *best = nullptr;
    for (const Candidate &it : candidates) {
        const bool mayLead = it.entry.id != record.primary && !it.status.isPrimary &&
                             !it.entry.isLeaving && refused.count(it.entry.id) == 0;
        if (mayLead && (best == nullptr || best->status.position < it.status.position)) {
            best = &it;
        }
    }
    const bool isTired = bootNow() - comparingSince > CatchUpPatience;
    const bool isBehind =
        best != nullptr && oldPrimary && best->status.position < oldPrimary->position;
    if (best == nullptr) {
        // Nobody can take over. The old primary goes on if it is there.
        if (isTired && oldPrimary && oldPrimary->isPrimary) {
            const auto view = environment.view();
            const auto it = view->members.find(record.primary);
            if (it != view->members.end()) {
                storeServing(it->second.entry, oldPrimary->term);
                return;
            }
        }
        refused.clear();
        later(RetryPause, [](State &state) { state.compare(); });
        return;
    }
    if (isBehind && !isTired) {
        later(PollInterval, [](State &state) { state.compare(); });
        return;
    }
    if (oldPrimary) {
        record.term = std::max(record.term, oldPrimary->term);
    }
    promote(Candidate(*best));
}

void PrimaryChange::State::promote(const Candidate &candidate)
{
    if (++promotions > MostPromotions) {
        end(false, "too many promotions without effect");
        return;
    }
    logEvent("primary.promote", {{"group", record.group},
                                 {"member", candidate.entry.id},
                                 {"epoch", record.epoch},
                                 {"position_term", candidate.status.position.term},
                                 {"position", candidate.status.position.position},
                                 {"old_position", oldPrimary ? oldPrimary->position.position : 0}});
    environment.promote(
        record.group, version, candidate.entry.id,
        [weak = self, candidate](platform::PromotionAnswer answer, const std::string &what) {
            auto owner = weak.lock();
            if (!owner || owner->m_state->hasEnded) {
                return;
            }
            State &state = *owner->m_state;
            logEvent("primary.promotion_answer", {{"group", state.record.group},
                                                  {"member", candidate.entry.id},
                                                  {"answer", static_cast<int>(answer)},
                                                  {"what", what}});
            switch (answer) {
            case platform::PromotionAnswer::Accepted:
            case platform::PromotionAnswer::Unknown:
                state.promotedAt = bootNow();
                state.awaitLead(candidate.entry);
                return;
            case platform::PromotionAnswer::Refused:
                state.refused.insert(candidate.entry.id);
                break;
            case platform::PromotionAnswer::NotDone:
                break;
            }
            state.later(RetryPause, [](State &it) { it.compare(); });
        });
}

void PrimaryChange::State::awaitLead(const MemberEntry &member)
{
    environment.probe(member, [weak = self, member](const MemberProbe &probe) {
        auto owner = weak.lock();
        if (!owner || owner->m_state->hasEnded) {
            return;
        }
        State &state = *owner->m_state;
        if (probe.status && probe.status->isPrimary && probe.status->term > state.record.term) {
            state.storeServing(member, probe.status->term);
            return;
        }
        if (bootNow() - state.promotedAt > LeadPatience) {
            state.compare();
            return;
        }
        state.later(PollInterval, [member](State &it) { it.awaitLead(member); });
    });
}

void PrimaryChange::State::storeServing(const MemberEntry &member, uint64_t term)
{
    GroupRecord serving = record;
    serving.epoch = record.epoch + 1;
    serving.phase = GroupPhase::Serving;
    serving.primary = member.id;
    serving.primaryStartedAtMs = member.startedAtMs;
    serving.term = term;
    serving.isOrderly = false;
    serving.writer = ownName;
    environment.store(serving, version,
                      [weak = self, serving, old = record.primary](RowResult<uint64_t> result) {
                          auto owner = weak.lock();
                          if (!owner) {
                              return;
                          }
                          State &state = *owner->m_state;
                          if (!result && result.error().fault == RowFault::NotDone) {
                              state.later(RetryPause, [](State &it) { it.compare(); });
                              return;
                          }
                          if (!result) {
                              state.end(false, "the record was not stored: " + result.error().what);
                              return;
                          }
                          if (old != serving.primary) {
                              state.demoteOld(serving.term);
                          }
                          state.end(true, "primary is " + serving.primary);
                      });
}

void PrimaryChange::State::demoteOld(uint64_t term) const
{
    const auto view = environment.view();
    const auto it = view->members.find(record.primary);
    if (it != view->members.end()) {
        environment.demote(it->second.entry, term);
    }
}

void PrimaryChange::State::end(bool succeeded, const std::string &what)
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
                             uint64_t version, std::string ownName,
                             std::function<void(bool succeeded)> onEnd)
    : m_state(std::make_unique<State>())
{
    m_state->environment = std::move(environment);
    m_state->record = std::move(record);
    m_state->version = version;
    m_state->ownName = std::move(ownName);
    m_state->onEnd = std::move(onEnd);
}

PrimaryChange::~PrimaryChange() = default;

void PrimaryChange::start(ChangeCause cause, const std::string &reason)
{
    const bool isOrderly = cause == ChangeCause::Leaving;
    m_state->isOldUnreachable = cause == ChangeCause::Unreachable;
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

void PrimaryChange::released(const std::string &vm, uint64_t epoch)
{
    if (epoch >= m_state->record.epoch) {
        m_state->releasedBy.insert(vm);
    }
}

void PrimaryChange::abandon(const std::string &reason)
{
    m_state->end(false, reason);
}

} // namespace gentianplank
