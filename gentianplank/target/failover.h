// Detects a failed primary and promotes its successor, for one group at one watcher.
//
// Terms are granted by a majority of the group's members. A member grants each term to a single
// promoter, and a promoter promotes a single member per term, after a majority granted the term.
// So a term has at most one promoter and one primary, independently of the store.
//
//     GroupFailover failover = makeGroupFailover("vm-1", "vm-1/7", timing);
//     for (const FailoverAction &it : nextActions(failover, view, watchers, now)) { ...send... }
//     onFenceReply(failover, reply, now);          // then nextActions() again
#pragma once

#include "gentianplank/target/group_view.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// Timeouts and limits of failure detection and promotion.
struct FailoverTiming
{
    // Silence of the primary after which the other watchers are queried.
    Duration suspicionTimeout = std::chrono::milliseconds(200);
    // Silence after which the watcher of rank 0 starts a promotion, if another watcher agrees. Also
    // the age from which a member's last report isn't fresh any more.
    Duration detectionTimeout = std::chrono::milliseconds(350);
    // Replaces detectionTimeout when the connection to the primary broke.
    Duration disconnectedTimeout = std::chrono::milliseconds(200);
    // Silence after which a watcher starts a promotion although no other watcher has confirmed or
    // contradicted its suspicion.
    Duration unconfirmedTimeout = std::chrono::milliseconds(900);
    // Added per rank to the three timeouts above, so that watchers don't compete for a term.
    Duration rankDelay = std::chrono::milliseconds(200);
    // Interval between queries to the other watchers.
    Duration queryInterval = std::chrono::milliseconds(50);
    // How long the observation of another watcher is valid.
    Duration observationLifetime = std::chrono::milliseconds(250);
    // Unanswered calls are resent after this time.
    Duration callTimeout = std::chrono::milliseconds(250);
    // Number of times that the calls of a phase are sent before the attempt is abandoned.
    int maxSends = 3;
    // Minimum time between an abandoned attempt and the next one.
    Duration retryDelay = std::chrono::milliseconds(100);
    // A longer time between two calls of nextActions() means that this VM was paused, which must
    // not count as silence of the members.
    Duration maxTickInterval = std::chrono::milliseconds(100);
};

// With more groups than this, members report less often to limit control traffic, and the
// detection timeouts grow by the same factor.
inline constexpr size_t MaxGroupsAtFullRate = 100;

// Report interval of members towards VMs that watch the group for failover, and towards VMs that
// only dispatch statements to it.
Duration watchIntervalFor(size_t groups);
Duration dispatchIntervalFor(size_t groups);

// Report interval of members towards all other VMs; nullopt if they get no reports, as in a fleet
// with many groups.
std::optional<Duration> idleIntervalFor(size_t groups);

// Returns the timing for a fleet with this many groups.
FailoverTiming timingFor(size_t groups);

// A VM that watches the group. Lists of watchers are ordered by rank, starting at 0.
struct FailoverWatcher
{
    std::string vm;
    Place place;
};

enum class FailoverPhase {
    // Watches the primary.
    Watching,
    // Requests a term from the members.
    Fencing,
    // Requests the candidate to become primary in the granted term.
    Promoting,
};

enum class FailoverActionKind {
    // Request the observation of the watcher `target` about `term`.
    QueryWatcher,
    // Fence the member `target` with `term`.
    Fence,
    // Promote the member `target` in `term`.
    Promote,
    // The member `target` became primary of `term`: log it for the operators.
    Record,
    // The attempt at `term` was abandoned and will be retried in a later term.
    Abandon,
};

struct FailoverAction
{
    FailoverActionKind kind = FailoverActionKind::QueryWatcher;
    std::string target;
    uint64_t term = 0;
};

// A watcher's opinion of a group.
struct Observation
{
    std::string watcher;
    // The highest term known to the watcher.
    uint64_t term = 0;
    // The watcher suspects that the group has no primary that can confirm writes.
    bool suspects = false;
    Instant receivedAt{};
};

struct FenceReply
{
    std::string member;
    uint64_t term = 0;
    // False when the member granted the term, or a later one, to another promoter.
    bool granted = false;
    LogPosition position;
    uint64_t fencedTerm = 0;
};

struct PromoteReply
{
    std::string member;
    uint64_t term = 0;
    bool promoted = false;
};

// When each step of the last change of primary ended; Instant{} for a step that hasn't.
struct FailoverTimeline
{
    Instant suspectedAt{};
    Instant agreedAt{};
    Instant grantedAt{};
    Instant promotedAt{};
};

// State of the failover logic of one group. A plain value, used by the control thread only.
struct GroupFailover
{
    std::string vm;
    // Unique to this incarnation of the VM.
    std::string promoter;
    FailoverTiming timing;
    FailoverPhase phase = FailoverPhase::Watching;
    // The term of the current or last attempt.
    uint64_t term = 0;
    // Log positions of the members that granted the term.
    std::map<std::string, LogPosition, std::less<>> grants;
    std::string candidate;
    // The destination of a planned switch, preferred if no other member has a longer log.
    std::string preferredMember;
    std::string formerPrimary;
    // A primary that is reachable from VMs but not from its replicas. It is promoted again only if
    // too few other members grant the term.
    std::string isolatedPrimary;
    int sendCount = 0;
    Instant resendAt{};
    Instant retryAt{};
    Instant lastQueryAt{};
    std::map<std::string, Observation, std::less<>> observations;
    // The highest term seen, and when it was first seen.
    uint64_t highestSeenTerm = 0;
    Instant highestSeenTermAt{};
    // The last time at which the view had a primary.
    Instant primaryLastKnownAt{};
    Instant lastTickAt{};
    // Silence is counted from here at the earliest.
    Instant silenceFloor{};
    FailoverTimeline timeline;
};

GroupFailover makeGroupFailover(std::string vm, std::string promoter, FailoverTiming timing = {});

// Sorts the watchers by the number of members in their region, most first, since these reach a
// majority soonest. The sort is stable.
void sortByMajorityProximity(std::vector<FailoverWatcher> &watchers, const GroupView &view);

// Returns how long the group has been without a primary that can confirm writes. With a healthy
// primary this is a short time, such as the age of its last report.
Duration primaryUnavailability(const GroupFailover &failover, const GroupView &view, Instant now);

// Returns this watcher's reply to a query of another watcher about `queriedTerm`.
Observation observe(const GroupFailover &failover, const GroupView &view, uint64_t queriedTerm,
                    Instant now);

// Advances the state and returns the actions to take now. Call it every few milliseconds and after
// each event.
std::vector<FailoverAction> nextActions(GroupFailover &failover, const GroupView &view,
                                        std::span<const FailoverWatcher> watchers, Instant now);

// Starts a planned switch to a member. The caller must have drained the primary. Returns no actions
// if an attempt is in progress.
std::vector<FailoverAction> startSwitch(GroupFailover &failover, const GroupView &view,
                                        std::string_view member, Instant now);

// Handle the replies to the actions, including replies to earlier attempts.
void onObservation(GroupFailover &failover, Observation observation);
void onFenceReply(GroupFailover &failover, const FenceReply &reply, Instant now);
void onPromoteReply(GroupFailover &failover, const PromoteReply &reply, Instant now);

} // namespace gentianplank
