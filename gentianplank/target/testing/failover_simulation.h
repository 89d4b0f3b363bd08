// One database group with its watchers and writers on a virtual clock: the real decisions
// (GroupView, GroupFailover, WriteFlow) over in-memory members and messages that are late, lost,
// or held up by cuts and pauses.
//
//     FailoverSimulation world(options);
//     world.advance(std::chrono::seconds(1));
//     world.isolate(world.memberNode(0), true);
//     world.advance(std::chrono::seconds(5));
//     BOOST_TEST(world.checkWrites() == "");
#pragma once

#include "gentianplank/standin/member_state.h"
#include "gentianplank/target/failover.h"
#include "gentianplank/zone/place.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gentianplank {

struct FailoverSimulationOptions
{
    std::vector<Place> members;
    std::vector<Place> vms;
    std::function<Duration(const Place &, const Place &)> latency;
    Duration step = std::chrono::milliseconds(1);
    Duration reportInterval = std::chrono::milliseconds(50);
    // Every message takes up to this much longer.
    Duration jitter{};
    // Of a thousand calls, how many are lost, and as many replies.
    uint32_t lossPerMille = 0;
    // Each writing VM starts a write this often.
    Duration writeInterval = std::chrono::milliseconds(20);
    Duration writeDeadline = std::chrono::seconds(8);
    // The first VMs write, and so many watch.
    size_t writers = SIZE_MAX;
    size_t watcherCount = 3;
    // The member that is primary at first.
    size_t firstPrimary = 0;
    FailoverTiming timing;
    uint64_t seed = 1;
};

struct AcknowledgedWrite
{
    std::string id;
    Instant at{};
    LogPosition position;
};

// A change of primary that a watcher completed.
struct Promotion
{
    std::string member;
    uint64_t term = 0;
    FailoverTimeline timeline;
};

// Nodes are numbered: members first, then VMs.
class FailoverSimulation
{
public:
    explicit FailoverSimulation(FailoverSimulationOptions options);
    ~FailoverSimulation();

    size_t memberNode(size_t member) const;
    size_t vmNode(size_t vm) const;
    const Place &placeOf(size_t node) const;
    size_t nodeCount() const;

    void advance(Duration time);
    Instant now() const;

    // Drops all messages between two nodes, in both directions.
    void cut(size_t a, size_t b, bool isCut);
    // Cuts a node from all others.
    void isolate(size_t node, bool isCut);
    void healAll();

    // A paused node does nothing; messages wait for it.
    void pause(size_t node, Duration time);
    // A stopped member refuses connections and keeps its log; a stopped VM keeps nothing.
    void stop(size_t node);
    void restart(size_t node);
    // Delays the entries, not the heartbeats, of replication to a member.
    void setLag(size_t member, Duration lag);
    void setLeaving(size_t member, bool leaving);

    // The VMs that watch, best first.
    std::vector<size_t> watchers() const;
    // The node of the live member that acts as primary in the highest term; nodeCount() for none.
    size_t primary() const;
    const MemberState &member(size_t member) const;

    const std::vector<AcknowledgedWrite> &acknowledged() const;
    const std::vector<Promotion> &promotions() const;

    // Returns what is wrong with the group's log or history, or an empty string: a lost, doubled
    // or falsely refused write, or two primaries in one term.
    std::string checkWrites() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
