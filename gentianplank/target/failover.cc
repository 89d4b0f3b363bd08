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

// Restarts the count of silence after a pause of this VM, which isn't silence of the members.
void recordTick(GroupFailover &failover, Instant now)
{
    if (now - failover.lastTickAt > failover.timing.maxTickInterval) {
        failover.silenceFloor = now;
    }
    failover.lastTickAt = now;
}

void recordTerm(GroupFailover &failover, uint64_t term, Instant now)
{
    if (term > failover.highestSeenTerm) {
        failover.highestSeenTerm = term;
        failover.highestSeenTermAt = now;
    }
}

bool hasFreshReport(const GroupFailover &failover, const MemberView &member, Instant now)
{
    return member.connected && now - member.receivedAt < failover.timing.detectionTimeout;
}

// Returns how long a replica with a fresh report has received nothing from the primary of the
// current term.
Duration replicaSilence(const GroupFailover &failover, const MemberView &member, Instant now)
{
    return std::min(member.primarySilence + (now - member.receivedAt),
                    now - std::max(failover.highestSeenTermAt, failover.silenceFloor));
}

size_t countFresh(const GroupFailover &failover, const GroupView &view, Instant now)
{
    return static_cast<size_t>(
        std::count_if(view.members.begin(), view.members.end(),
                      [&](const MemberView &it) { return hasFreshReport(failover, it, now); }));
}

// Returns for how long the primary can't have confirmed writes, since too many replicas with fresh
// reports have received nothing from it; zero if too few replicas have fresh reports to tell.
Duration replicationSilence(const GroupFailover &failover, const GroupView &view,
                            const MemberView &primary, Instant now)
{
    std::vector<Duration> silences;
    for (const MemberView &it : view.members) {
        const bool isReplica = &it != &primary;
        if (isReplica && hasFreshReport(failover, it, now)) {
            silences.push_back(replicaSilence(failover, it, now));
        }
    }
    std::sort(silences.begin(), silences.end(), std::greater<>());
    const size_t needed = view.members.size() - majorityOf(view) + 1;
    return silences.size() < needed ? Duration::zero() : silences[needed - 1];
}

bool isPrimaryDisconnected(const GroupView &view)
{
    const MemberView *primary = primaryOf(view);
    return primary != nullptr && !primary->connected;
}

Duration detectionTimeoutOf(const GroupFailover &failover, const GroupView &view)
{
    return isPrimaryDisconnected(view) ? failover.timing.disconnectedTimeout
                                       : failover.timing.detectionTimeout;
}

Duration suspicionTimeoutOf(const GroupFailover &failover, const GroupView &view)
{
    return isPrimaryDisconnected(view) ? failover.timing.disconnectedTimeout / 2
                                       : failover.timing.suspicionTimeout;
}

bool isFreshObservation(const GroupFailover &failover, const Observation &observation, Instant now)
{
    return now - observation.receivedAt <= failover.timing.observationLifetime;
}

// Whether a watcher of another zone suspects the primary too. If no watcher contradicts, the
// suspicion also counts as confirmed after the timeout for unconfirmed suspicions.
bool isSuspicionConfirmed(const GroupFailover &failover, std::span<const FailoverWatcher> watchers,
                          size_t rank, Duration silence, Instant now)
{
    const std::string &zone = watchers[rank].place.zone;
    const bool hasOtherZone = std::any_of(watchers.begin(), watchers.end(),
                                          [&](const auto &it) { return it.place.zone != zone; });
    bool contradicted = false;
    for (const FailoverWatcher &it : watchers) {
        const auto found = failover.observations.find(it.vm);
        if (it.vm == failover.vm || found == failover.observations.end() ||
            !isFreshObservation(failover, found->second, now)) {
            continue;
        }
        if (found->second.suspects && (it.place.zone != zone || !hasOtherZone)) {
            return true;
        }
        contradicted = contradicted || !found->second.suspects;
    }
    const Duration rankDelay = failover.timing.rankDelay * static_cast<int>(rank);
    return !contradicted && silence >= failover.timing.unconfirmedTimeout + rankDelay;
}

Actions queryWatchers(GroupFailover &failover, std::span<const FailoverWatcher> watchers,
                      Instant now)
{
    Actions actions;
    if (now - failover.lastQueryAt < failover.timing.queryInterval) {
        return actions;
    }
    failover.lastQueryAt = now;
    for (const FailoverWatcher &it : watchers) {
        if (it.vm != failover.vm) {
            actions.push_back({FailoverActionKind::QueryWatcher, it.vm, failover.highestSeenTerm});
        }
    }
    return actions;
}

Actions sendFences(GroupFailover &failover, const GroupView &view, Instant now)
{
    ++failover.sendCount;
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
    failover.term = std::max({highestTerm(view), failover.term, failover.highestSeenTerm}) + 1;
    recordTerm(failover, failover.term, now);
    failover.grants.clear();
    failover.candidate.clear();
    failover.sendCount = 0;
    return sendFences(failover, view, now);
}

void abandonAttempt(GroupFailover &failover, Instant now)
{
    failover.phase = FailoverPhase::Watching;
    failover.preferredMember.clear();
    failover.retryAt = now + failover.timing.retryDelay;
}

size_t countGrants(const GroupFailover &failover, const GroupView &view, std::string_view without)
{
    return static_cast<size_t>(
        std::count_if(view.members.begin(), view.members.end(), [&](const MemberView &it) {
            return it.name != without && failover.grants.contains(it.name);
        }));
}

// Whether a majority without the isolated primary granted the term. That majority holds every
// confirmed write, so the isolated primary isn't needed as candidate.
bool canExcludeIsolatedPrimary(const GroupFailover &failover, const GroupView &view)
{
    return countGrants(failover, view, failover.isolatedPrimary) >= majorityOf(view);
}

// Whether enough members granted the term. Until the calls are resent for the first time, a planned
// switch also waits for its preferred member, and a group with an isolated primary for a majority
// without that.
bool isTermGranted(const GroupFailover &failover, const GroupView &view)
{
    const bool hasPreferred =
        failover.preferredMember.empty() || failover.grants.contains(failover.preferredMember);
    if (failover.sendCount < 2 && !(hasPreferred && canExcludeIsolatedPrimary(failover, view))) {
        return false;
    }
    return countGrants(failover, view, {}) >= majorityOf(view);
}

// Returns the member to promote: the one with the highest (term, position). Ties are broken in
// favour of the destination of a planned switch, then of members that aren't leaving, then of the
// former primary, then of members of its region.
std::string chooseCandidate(const GroupFailover &failover, const GroupView &view)
{
    const MemberView *former = findMember(view, failover.formerPrimary);
    const bool excludesIsolated = canExcludeIsolatedPrimary(failover, view);
    const auto rank = [&](const MemberView &it) {
        const bool isSameRegion = former != nullptr && it.place.region == former->place.region;
        return std::tuple(failover.grants.find(it.name)->second,
                          it.name == failover.preferredMember, !it.leaving,
                          it.name == failover.formerPrimary, isSameRegion);
    };
    const MemberView *best = nullptr;
    for (const MemberView &it : view.members) {
        const bool isEligible = failover.grants.contains(it.name) &&
                                !(excludesIsolated && it.name == failover.isolatedPrimary);
        if (isEligible && (best == nullptr || rank(it) > rank(*best))) {
            best = &it;
        }
    }
    return best == nullptr ? std::string{} : best->name;
}

Actions sendPromote(GroupFailover &failover, Instant now)
{
    ++failover.sendCount;
    failover.resendAt = now + failover.timing.callTimeout;
    return {{FailoverActionKind::Promote, failover.candidate, failover.term}};
}

// Resends unanswered calls when they are due, or abandons the attempt after the last resend.
Actions resendOrAbandon(GroupFailover &failover, const GroupView &view, Instant now)
{
    if (now < failover.resendAt) {
        return {};
    }
    if (failover.sendCount >= failover.timing.maxSends) {
        abandonAttempt(failover, now);
        return {{FailoverActionKind::Abandon, {}, failover.term}};
    }
    return failover.phase == FailoverPhase::Fencing ? sendFences(failover, view, now)
                                                    : sendPromote(failover, now);
}

Actions continueAttempt(GroupFailover &failover, const GroupView &view, Instant now)
{
    if (failover.highestSeenTerm > failover.term) {
        abandonAttempt(failover, now);
        return {{FailoverActionKind::Abandon, {}, failover.term}};
    }
    if (failover.phase == FailoverPhase::Fencing && isTermGranted(failover, view)) {
        failover.timeline.grantedAt = now;
        failover.phase = FailoverPhase::Promoting;
        failover.candidate = chooseCandidate(failover, view);
        failover.sendCount = 0;
        return sendPromote(failover, now);
    }
    return resendOrAbandon(failover, view, now);
}

Actions watch(GroupFailover &failover, const GroupView &view,
              std::span<const FailoverWatcher> watchers, Instant now)
{
    const Duration silence = primaryUnavailability(failover, view, now);
    if (silence < suspicionTimeoutOf(failover, view)) {
        failover.observations.clear();
        failover.timeline.suspectedAt = {};
        return {};
    }
    const size_t rank = rankOf(failover, watchers);
    if (rank == NotAWatcher) {
        return {};
    }
    Actions actions = queryWatchers(failover, watchers, now);
    const Duration wait =
        detectionTimeoutOf(failover, view) + failover.timing.rankDelay * static_cast<int>(rank);
    const bool reachesMajority = countFresh(failover, view, now) >= majorityOf(view);
    if (silence < wait || now < failover.retryAt || !reachesMajority) {
        return actions;
    }
    if (failover.timeline.suspectedAt == Instant{}) {
        failover.timeline.suspectedAt = now;
    }
    if (!isSuspicionConfirmed(failover, watchers, rank, silence, now)) {
        return actions;
    }
    failover.timeline.agreedAt = now;
    const MemberView *primary = primaryOf(view);
    failover.isolatedPrimary.clear();
    if (primary != nullptr) {
        failover.formerPrimary = primary->name;
        failover.isolatedPrimary =
            hasFreshReport(failover, *primary, now) ? primary->name : std::string{};
    }
    return startFencing(failover, view, now);
}

constexpr Duration FullRateInterval = std::chrono::milliseconds(50);
constexpr Duration ReducedRateInterval = std::chrono::milliseconds(500);

// Factor by which watch intervals and detection timeouts grow in a fleet with many groups.
constexpr int LargeFleetFactor = 4;

} // namespace

Duration watchIntervalFor(size_t groups)
{
    return groups <= MaxGroupsAtFullRate ? FullRateInterval : FullRateInterval * LargeFleetFactor;
}

Duration dispatchIntervalFor(size_t groups)
{
    return groups <= MaxGroupsAtFullRate ? FullRateInterval : ReducedRateInterval;
}

std::optional<Duration> idleIntervalFor(size_t groups)
{
    return groups <= MaxGroupsAtFullRate ? std::optional(ReducedRateInterval) : std::nullopt;
}

FailoverTiming timingFor(size_t groups)
{
    FailoverTiming timing;
    if (groups <= MaxGroupsAtFullRate) {
        return timing;
    }
    timing.suspicionTimeout *= LargeFleetFactor;
    timing.detectionTimeout *= LargeFleetFactor;
    timing.disconnectedTimeout *= LargeFleetFactor;
    timing.unconfirmedTimeout *= LargeFleetFactor;
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

void sortByMajorityProximity(std::vector<FailoverWatcher> &watchers, const GroupView &view)
{
    const auto membersNear = [&](const FailoverWatcher &watcher) {
        return std::count_if(view.members.begin(), view.members.end(), [&](const MemberView &it) {
            return it.place.region == watcher.place.region;
        });
    };
    std::stable_sort(watchers.begin(), watchers.end(),
                     [&](const auto &a, const auto &b) { return membersNear(a) > membersNear(b); });
}

Duration primaryUnavailability(const GroupFailover &failover, const GroupView &view, Instant now)
{
    const Instant floor = std::max(failover.highestSeenTermAt, failover.silenceFloor);
    const MemberView *primary = primaryOf(view);
    if (primary == nullptr || primary->position.term < failover.highestSeenTerm) {
        return now - std::max(floor, failover.primaryLastKnownAt);
    }
    const Duration silence = now - std::max(primary->receivedAt, floor);
    return std::max(silence, replicationSilence(failover, view, *primary, now));
}

Observation observe(const GroupFailover &failover, const GroupView &view, uint64_t queriedTerm,
                    Instant now)
{
    Observation observation;
    observation.watcher = failover.vm;
    observation.term = std::max(failover.highestSeenTerm, highestTerm(view));
    const bool canPromote = countFresh(failover, view, now) >= majorityOf(view);
    observation.suspects =
        queriedTerm > observation.term || !canPromote ||
        primaryUnavailability(failover, view, now) >= suspicionTimeoutOf(failover, view);
    return observation;
}

std::vector<FailoverAction> nextActions(GroupFailover &failover, const GroupView &view,
                                        std::span<const FailoverWatcher> watchers, Instant now)
{
    recordTick(failover, now);
    recordTerm(failover, highestTerm(view), now);
    if (primaryOf(view) != nullptr) {
        failover.primaryLastKnownAt = now;
    }
    if (failover.phase == FailoverPhase::Watching) {
        return watch(failover, view, watchers, now);
    }
    if (failover.phase == FailoverPhase::Promoting &&
        failover.timeline.promotedAt > failover.timeline.grantedAt) {
        failover.phase = FailoverPhase::Watching;
        failover.preferredMember.clear();
        failover.highestSeenTermAt = now;
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
    failover.preferredMember = member;
    failover.isolatedPrimary.clear();
    failover.timeline.suspectedAt = now;
    failover.timeline.agreedAt = now;
    return startFencing(failover, view, now);
}

void onObservation(GroupFailover &failover, Observation observation)
{
    recordTerm(failover, observation.term, observation.receivedAt);
    failover.observations[observation.watcher] = std::move(observation);
}

void onFenceReply(GroupFailover &failover, const FenceReply &reply, Instant now)
{
    recordTerm(failover, reply.fencedTerm, now);
    const bool isCurrent = failover.phase == FailoverPhase::Fencing && reply.term == failover.term;
    if (isCurrent && reply.granted) {
        failover.grants[reply.member] = reply.position;
    }
    if (isCurrent && !reply.granted) {
        abandonAttempt(failover, now);
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
        abandonAttempt(failover, now);
        return;
    }
    failover.timeline.promotedAt = now;
}

} // namespace gentianplank
