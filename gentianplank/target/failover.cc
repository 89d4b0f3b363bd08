#include "gentianplank/target/failover.h"

#include <algorithm>
#include <tuple>

namespace gentianplank {

namespace {

using Actions = std::vector<FailoverAction>;

constexpr size_t NotAWatcher = SIZE_MAX;

size_t rankOf(const GroupFailover &failover, std::span<const FailoverWatcher> watchers)
{
    for (size_t i = 0; i < watchers.size(); ++i) {
        if (watchers[i].vm == failover.vm) {
            return i;
        }
    }
    return NotAWatcher;
}

// A pause of this VM must not look like silence of the members.
void noteTime(GroupFailover &failover, Instant now)
{
    if (now - failover.lastTickAt > failover.timing.longestTick) {
        failover.heardFloor = now;
    }
    failover.lastTickAt = now;
}

void noteTerm(GroupFailover &failover, uint64_t term, Instant now)
{
    if (term > failover.seenTerm) {
        failover.seenTerm = term;
        failover.termSince = now;
    }
}

bool isFresh(const GroupFailover &failover, const MemberView &member, Instant now)
{
    return member.connected && now - member.receivedAt < failover.timing.detectionTimeout;
}

// How long a fresh replica has heard nothing of the primary of the present term.
Duration replicaSilence(const GroupFailover &failover, const MemberView &member, Instant now)
{
    return std::min(member.primarySilence + (now - member.receivedAt),
                    now - std::max(failover.termSince, failover.heardFloor));
}

size_t countFresh(const GroupFailover &failover, const GroupView &view, Instant now)
{
    return static_cast<size_t>(
        std::count_if(view.members.begin(), view.members.end(),
                      [&](const MemberView &it) { return isFresh(failover, it, now); }));
}

// How long so many replicas have missed the primary that it can't confirm; zero when it can.
Duration cutOffSilence(const GroupFailover &failover, const GroupView &view,
                       const MemberView &primary, Instant now)
{
    std::vector<Duration> silences;
    for (const MemberView &it : view.members) {
        const bool isReplica = &it != &primary;
        if (isReplica && isFresh(failover, it, now)) {
            silences.push_back(replicaSilence(failover, it, now));
        }
    }
    std::sort(silences.begin(), silences.end(), std::greater<>());
    const size_t needed = view.members.size() - majorityOf(view) + 1;
    return silences.size() < needed ? Duration::zero() : silences[needed - 1];
}

bool isBroken(const GroupView &view)
{
    const MemberView *primary = primaryOf(view);
    return primary != nullptr && !primary->connected;
}

Duration thresholdOf(const GroupFailover &failover, const GroupView &view)
{
    return isBroken(view) ? failover.timing.disconnectedTimeout : failover.timing.detectionTimeout;
}

Duration askThresholdOf(const GroupFailover &failover, const GroupView &view)
{
    return isBroken(view) ? failover.timing.disconnectedTimeout / 2
                          : failover.timing.suspicionTimeout;
}

bool isFreshAnswer(const GroupFailover &failover, const Observation &observation, Instant now)
{
    return now - observation.receivedAt <= failover.timing.observationLifetime;
}

// Whether a watcher of another zone misses the primary too, or nobody is left to ask.
bool isAgreed(const GroupFailover &failover, std::span<const FailoverWatcher> watchers, size_t rank,
              Duration detectionTimeout, Instant now)
{
    const std::string &zone = watchers[rank].place.zone;
    const bool hasOtherZone = std::any_of(watchers.begin(), watchers.end(),
                                          [&](const auto &it) { return it.place.zone != zone; });
    bool contradicted = false;
    for (const FailoverWatcher &it : watchers) {
        const auto found = failover.observations.find(it.vm);
        if (it.vm == failover.vm || found == failover.observations.end() ||
            !isFreshAnswer(failover, found->second, now)) {
            continue;
        }
        if (found->second.suspects && (it.place.zone != zone || !hasOtherZone)) {
            return true;
        }
        contradicted = contradicted || !found->second.suspects;
    }
    const Duration rankDelay = failover.timing.rankDelay * static_cast<int>(rank);
    return !contradicted && detectionTimeout >= failover.timing.unconfirmedTimeout + rankDelay;
}

Actions askOthers(GroupFailover &failover, std::span<const FailoverWatcher> watchers, Instant now)
{
    Actions actions;
    if (now - failover.askedAt < failover.timing.askInterval) {
        return actions;
    }
    failover.askedAt = now;
    for (const FailoverWatcher &it : watchers) {
        if (it.vm != failover.vm) {
            actions.push_back({FailoverActionKind::QueryWatcher, it.vm, failover.seenTerm});
        }
    }
    return actions;
}

Actions sendFences(GroupFailover &failover, const GroupView &view, Instant now)
{
    ++failover.sendings;
    failover.resendAt = now + failover.timing.callTimeout;
    Actions actions;
    for (const MemberView &it : view.members) {
        if (!failover.grants.contains(it.name)) {
            actions.push_back({FailoverActionKind::Fence, it.name, failover.term});
        }
    }
    return actions;
}

Actions startFencing(GroupFailover &failover, const GroupView &view, Instant now)
{
    failover.phase = FailoverPhase::Fencing;
    failover.term = std::max({highestTerm(view), failover.term, failover.seenTerm}) + 1;
    noteTerm(failover, failover.term, now);
    failover.grants.clear();
    failover.candidate.clear();
    failover.sendings = 0;
    return sendFences(failover, view, now);
}

void giveUp(GroupFailover &failover, Instant now)
{
    failover.phase = FailoverPhase::Watching;
    failover.wanted.clear();
    failover.retryAt = now + failover.timing.retryPause;
}

size_t countGrants(const GroupFailover &failover, const GroupView &view, std::string_view without)
{
    return static_cast<size_t>(
        std::count_if(view.members.begin(), view.members.end(), [&](const MemberView &it) {
            return it.name != without && failover.grants.contains(it.name);
        }));
}

// Whether the members but the avoided one make a majority: then they hold all that is confirmed.
bool canAvoid(const GroupFailover &failover, const GroupView &view)
{
    return countGrants(failover, view, failover.avoided) >= majorityOf(view);
}

// Whether enough members granted the term. During the first sending a planned switch waits for
// the wanted member, and a group with an avoided member for a majority without it.
bool isGranted(const GroupFailover &failover, const GroupView &view)
{
    const bool hasWanted = failover.wanted.empty() || failover.grants.contains(failover.wanted);
    if (failover.sendings < 2 && !(hasWanted && canAvoid(failover, view))) {
        return false;
    }
    return countGrants(failover, view, {}) >= majorityOf(view);
}

// The member to promote: the highest (term, position); on ties the one that a planned switch
// wants, then one that stays, then the former primary, then one of its region.
std::string chooseCandidate(const GroupFailover &failover, const GroupView &view)
{
    const MemberView *former = findMember(view, failover.formerPrimary);
    const bool avoids = canAvoid(failover, view);
    const auto rank = [&](const MemberView &it) {
        const bool isNear = former != nullptr && it.place.region == former->place.region;
        return std::tuple(failover.grants.find(it.name)->second, it.name == failover.wanted,
                          !it.leaving, it.name == failover.formerPrimary, isNear);
    };
    const MemberView *best = nullptr;
    for (const MemberView &it : view.members) {
        const bool mayAct =
            failover.grants.contains(it.name) && !(avoids && it.name == failover.avoided);
        if (mayAct && (best == nullptr || rank(it) > rank(*best))) {
            best = &it;
        }
    }
    return best == nullptr ? std::string{} : best->name;
}

Actions sendPromote(GroupFailover &failover, Instant now)
{
    ++failover.sendings;
    failover.resendAt = now + failover.timing.callTimeout;
    return {{FailoverActionKind::Promote, failover.candidate, failover.term}};
}

// Sends what is unanswered again, or gives the attempt up.
Actions sendAgain(GroupFailover &failover, const GroupView &view, Instant now)
{
    if (now < failover.resendAt) {
        return {};
    }
    if (failover.sendings >= failover.timing.sendings) {
        giveUp(failover, now);
        return {{FailoverActionKind::Abandon, {}, failover.term}};
    }
    return failover.phase == FailoverPhase::Fencing ? sendFences(failover, view, now)
                                                    : sendPromote(failover, now);
}

Actions continueAttempt(GroupFailover &failover, const GroupView &view, Instant now)
{
    if (failover.seenTerm > failover.term) {
        giveUp(failover, now);
        return {{FailoverActionKind::Abandon, {}, failover.term}};
    }
    if (failover.phase == FailoverPhase::Fencing && isGranted(failover, view)) {
        failover.timeline.grantedAt = now;
        failover.phase = FailoverPhase::Promoting;
        failover.candidate = chooseCandidate(failover, view);
        failover.sendings = 0;
        return sendPromote(failover, now);
    }
    return sendAgain(failover, view, now);
}

Actions watch(GroupFailover &failover, const GroupView &view,
              std::span<const FailoverWatcher> watchers, Instant now)
{
    const Duration detectionTimeout = silenceOf(failover, view, now);
    if (detectionTimeout < askThresholdOf(failover, view)) {
        failover.observations.clear();
        failover.timeline.suspectedAt = {};
        return {};
    }
    const size_t rank = rankOf(failover, watchers);
    if (rank == NotAWatcher) {
        return {};
    }
    Actions actions = askOthers(failover, watchers, now);
    const Duration wait =
        thresholdOf(failover, view) + failover.timing.rankDelay * static_cast<int>(rank);
    const bool reachesMajority = countFresh(failover, view, now) >= majorityOf(view);
    if (detectionTimeout < wait || now < failover.retryAt || !reachesMajority) {
        return actions;
    }
    if (failover.timeline.suspectedAt == Instant{}) {
        failover.timeline.suspectedAt = now;
    }
    if (!isAgreed(failover, watchers, rank, detectionTimeout, now)) {
        return actions;
    }
    failover.timeline.agreedAt = now;
    const MemberView *primary = primaryOf(view);
    failover.avoided.clear();
    if (primary != nullptr) {
        failover.formerPrimary = primary->name;
        failover.avoided = isFresh(failover, *primary, now) ? primary->name : std::string{};
    }
    return startFencing(failover, view, now);
}

constexpr Duration FullPaceInterval = std::chrono::milliseconds(50);
constexpr Duration SlowInterval = std::chrono::milliseconds(500);

// By how much a large fleet is slower.
constexpr int LargeFactor = 4;

} // namespace

Duration watchIntervalFor(size_t groups)
{
    return groups <= MostGroupsAtFullPace ? FullPaceInterval : FullPaceInterval * LargeFactor;
}

Duration dispatchIntervalFor(size_t groups)
{
    return groups <= MostGroupsAtFullPace ? FullPaceInterval : SlowInterval;
}

std::optional<Duration> idleIntervalFor(size_t groups)
{
    return groups <= MostGroupsAtFullPace ? std::optional(SlowInterval) : std::nullopt;
}

FailoverTiming timingFor(size_t groups)
{
    FailoverTiming timing;
    if (groups <= MostGroupsAtFullPace) {
        return timing;
    }
    timing.suspicionTimeout *= LargeFactor;
    timing.detectionTimeout *= LargeFactor;
    timing.disconnectedTimeout *= LargeFactor;
    timing.unconfirmedTimeout *= LargeFactor;
    return timing;
}

GroupFailover makeGroupFailover(std::string vm, std::string promoter, FailoverTiming timing)
{
    GroupFailover failover;
    failover.vm = std::move(vm);
    failover.promoter = std::move(promoter);
    failover.timing = timing;
    return failover;
}

void rankNearMajorityFirst(std::vector<FailoverWatcher> &watchers, const GroupView &view)
{
    const auto membersNear = [&](const FailoverWatcher &watcher) {
        return std::count_if(view.members.begin(), view.members.end(), [&](const MemberView &it) {
            return it.place.region == watcher.place.region;
        });
    };
    std::stable_sort(watchers.begin(), watchers.end(),
                     [&](const auto &a, const auto &b) { return membersNear(a) > membersNear(b); });
}

Duration silenceOf(const GroupFailover &failover, const GroupView &view, Instant now)
{
    const Instant floor = std::max(failover.termSince, failover.heardFloor);
    const MemberView *primary = primaryOf(view);
    if (primary == nullptr || primary->position.term < failover.seenTerm) {
        return now - std::max(floor, failover.primaryKnownAt);
    }
    const Duration detectionTimeout = now - std::max(primary->receivedAt, floor);
    return std::max(detectionTimeout, cutOffSilence(failover, view, *primary, now));
}

Observation observe(const GroupFailover &failover, const GroupView &view, uint64_t askedTerm,
                    Instant now)
{
    Observation observation;
    observation.watcher = failover.vm;
    observation.term = std::max(failover.seenTerm, highestTerm(view));
    const bool canPromote = countFresh(failover, view, now) >= majorityOf(view);
    observation.suspects = askedTerm > observation.term || !canPromote ||
                           silenceOf(failover, view, now) >= askThresholdOf(failover, view);
    return observation;
}

std::vector<FailoverAction> nextActions(GroupFailover &failover, const GroupView &view,
                                        std::span<const FailoverWatcher> watchers, Instant now)
{
    noteTime(failover, now);
    noteTerm(failover, highestTerm(view), now);
    if (primaryOf(view) != nullptr) {
        failover.primaryKnownAt = now;
    }
    if (failover.phase == FailoverPhase::Watching) {
        return watch(failover, view, watchers, now);
    }
    if (failover.phase == FailoverPhase::Promoting &&
        failover.timeline.promotedAt > failover.timeline.grantedAt) {
        failover.phase = FailoverPhase::Watching;
        failover.wanted.clear();
        failover.termSince = now;
        return {{FailoverActionKind::Record, failover.candidate, failover.term}};
    }
    return continueAttempt(failover, view, now);
}

std::vector<FailoverAction> startSwitch(GroupFailover &failover, const GroupView &view,
                                        std::string_view member, Instant now)
{
    if (failover.phase != FailoverPhase::Watching) {
        return {};
    }
    const MemberView *primary = primaryOf(view);
    failover.formerPrimary = primary == nullptr ? std::string{} : primary->name;
    failover.wanted = member;
    failover.avoided.clear();
    failover.timeline.suspectedAt = now;
    failover.timeline.agreedAt = now;
    return startFencing(failover, view, now);
}

void onObservation(GroupFailover &failover, Observation observation)
{
    noteTerm(failover, observation.term, observation.receivedAt);
    failover.observations[observation.watcher] = std::move(observation);
}

void onFenceReply(GroupFailover &failover, const FenceReply &reply, Instant now)
{
    noteTerm(failover, reply.fencedTerm, now);
    const bool isCurrent = failover.phase == FailoverPhase::Fencing && reply.term == failover.term;
    if (isCurrent && reply.granted) {
        failover.grants[reply.member] = reply.position;
    }
    if (isCurrent && !reply.granted) {
        giveUp(failover, now);
    }
}

void onPromoteReply(GroupFailover &failover, const PromoteReply &reply, Instant now)
{
    const bool isCurrent = failover.phase == FailoverPhase::Promoting &&
                           reply.term == failover.term && reply.member == failover.candidate;
    if (!isCurrent) {
        return;
    }
    if (!reply.promoted) {
        giveUp(failover, now);
        return;
    }
    failover.timeline.promotedAt = now;
}

} // namespace gentianplank
