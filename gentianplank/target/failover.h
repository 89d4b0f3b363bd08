// Detection of a failed primary and promotion of its successor, for one group at one watcher.
//
// The members' own majority grants a term: a member grants each term to one promoter only, and a
// promoter promotes one member in a term, after a majority granted it. So no two promoters use
// the same term, whatever the store does.
//
//     GroupFailover failover = makeGroupFailover("vm-1", "vm-1/7", timing);
//     for (const FailoverAction &it : nextActions(failover, view, watchers, now)) { ...send... }
//     onFenceReply(failover, reply, now);          // and so on; then nextActions() again
#pragma once

#include "gentianplank/target/group_view.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// The times of detection and promotion.
struct FailoverTiming
{
    // Silence of the primary after which the other watchers are asked.
    Duration suspicionTimeout = std::chrono::milliseconds(200);
    // Silence after which the first watcher acts.
    Duration detectionTimeout = std::chrono::milliseconds(350);
    // The same when the connection to the primary broke.
    Duration disconnectedTimeout = std::chrono::milliseconds(200);
    // Silence after which a watcher acts when no other one answers.
    Duration unconfirmedTimeout = std::chrono::milliseconds(900);
    // By how much each further watcher acts later than the one before it.
    Duration rankDelay = std::chrono::milliseconds(200);
    // How often the other watchers are asked.
    Duration askInterval = std::chrono::milliseconds(50);
    // An answer of another watcher counts for this long.
    Duration observationLifetime = std::chrono::milliseconds(250);
    // Unanswered calls are sent again after this time.
    Duration callTimeout = std::chrono::milliseconds(250);
    // A step that took this many sendings without success is given up.
    int sendings = 3;
    // The pause after a failed attempt, longer for each rank.
    Duration retryPause = std::chrono::milliseconds(100);
    // A longer time between two calls of nextActions() means that this VM was paused.
    Duration longestTick = std::chrono::milliseconds(100);
};

// With more groups than this a fleet saves control traffic: members report less often, and all
// times of detection grow alike.
inline constexpr size_t MostGroupsAtFullPace = 100;

// How often members report to the VMs that watch for failover, and to those that only dispatch.
Duration watchIntervalFor(size_t groups);
Duration dispatchIntervalFor(size_t groups);

// The same for all other VMs; nothing in a large fleet.
std::optional<Duration> idleIntervalFor(size_t groups);

FailoverTiming timingFor(size_t groups);

// A VM that watches the group. Lists of them are ordered by rank.
struct FailoverWatcher
{
    std::string vm;
    Place place;
};

enum class FailoverPhase {
    Watching,
    // Asks the members for a term.
    Fencing,
    // Asks the candidate to act in the granted term.
    Promoting,
};

enum class FailoverActionKind {
    // Ask the watcher `target` what it observes of `term`.
    QueryWatcher,
    // Fence the member `target` with `term`.
    Fence,
    // Promote the member `target` in `term`.
    Promote,
    // The member `target` is primary of `term`: note it for the operators.
    Record,
    // The attempt at `term` was given up; another one follows.
    Abandon,
};

struct FailoverAction
{
    FailoverActionKind kind = FailoverActionKind::QueryWatcher;
    std::string target;
    uint64_t term = 0;
};

// What a watcher observes of a group.
struct Observation
{
    std::string watcher;
    // The highest term that the watcher knows.
    uint64_t term = 0;
    // The watcher misses a primary that can confirm writes.
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

// When each part of the last change of primary ended; the epoch when it hasn't.
struct FailoverTimeline
{
    Instant suspectedAt{};
    Instant agreedAt{};
    Instant grantedAt{};
    Instant promotedAt{};
};

// A plain value of the control thread.
struct GroupFailover
{
    std::string vm;
    // Unique to this incarnation of the VM.
    std::string promoter;
    FailoverTiming timing;
    FailoverPhase phase = FailoverPhase::Watching;
    // The term of the present or last attempt.
    uint64_t term = 0;
    std::map<std::string, LogPosition, std::less<>> grants;
    std::string candidate;
    // A planned switch: the member to prefer when its log is as long as any.
    std::string wanted;
    std::string formerPrimary;
    // A primary that VMs reach but its replicas don't: promoted again only if nothing else will do.
    std::string avoided;
    int sendings = 0;
    Instant resendAt{};
    Instant retryAt{};
    Instant askedAt{};
    std::map<std::string, Observation, std::less<>> observations;
    // The highest term seen, and since when.
    uint64_t seenTerm = 0;
    Instant termSince{};
    // When a primary was last known.
    Instant primaryKnownAt{};
    Instant lastTickAt{};
    // Silence counts from here at the earliest.
    Instant heardFloor{};
    FailoverTimeline timeline;
};

GroupFailover makeGroupFailover(std::string vm, std::string promoter, FailoverTiming timing = {});

// Moves watchers of the region with the most members to the front: they reach a majority soonest.
// Keeps the order otherwise.
void rankNearMajorityFirst(std::vector<FailoverWatcher> &watchers, const GroupView &view);

// How long the group has been without a primary that can confirm writes; zero when it has one.
Duration silenceOf(const GroupFailover &failover, const GroupView &view, Instant now);

// What this watcher tells another one that knows `askedTerm`.
Observation observe(const GroupFailover &failover, const GroupView &view, uint64_t askedTerm,
                    Instant now);

// Returns what to do now. Call it every few milliseconds and after each event.
std::vector<FailoverAction> nextActions(GroupFailover &failover, const GroupView &view,
                                        std::span<const FailoverWatcher> watchers, Instant now);

// Starts a planned switch to a member; the caller has drained the primary.
std::vector<FailoverAction> startSwitch(GroupFailover &failover, const GroupView &view,
                                        std::string_view member, Instant now);

void onObservation(GroupFailover &failover, Observation observation);
void onFenceReply(GroupFailover &failover, const FenceReply &reply, Instant now);
void onPromoteReply(GroupFailover &failover, const PromoteReply &reply, Instant now);

} // namespace gentianplank
