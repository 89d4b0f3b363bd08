// Simulates a database group with its watchers and writers on a virtual clock. The production logic
// (GroupView, GroupFailover, WriteFlow) runs over in-memory members and messages that may be
// delayed, lost, or blocked by network cuts and paused nodes.
//
//     FailoverSimulation simulation(options);
//     simulation.advance(std::chrono::seconds(1));
//     simulation.isolate(simulation.memberNode(0), true);
//     simulation.advance(std::chrono::seconds(5));
//     BOOST_TEST(simulation.checkWrites() == "");
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
    // One-way delay between two places.
    std::function<Duration(const Place &, const Place &)> latency;
    // Resolution of the virtual clock.
    Duration step = std::chrono::milliseconds(1);
    Duration reportInterval = std::chrono::milliseconds(50);
    // Upper bound of the random delay added to each message.
    Duration jitter{};
    // Probability, per thousand, that a call is lost; the same for its reply.
    uint32_t lossPerMille = 0;
    // Interval at which each writing VM starts a write.
    Duration writeInterval = std::chrono::milliseconds(20);
    Duration writeDeadline = std::chrono::seconds(8);
    // Number of VMs that write, counted from the first one.
    size_t writers = SIZE_MAX;
    // Number of VMs that watch the group.
    size_t watcherCount = 3;
    // The member that is primary at the start.
    size_t initialPrimary = 0;
    FailoverTiming timing;
    uint64_t seed = 1;
};

struct AcknowledgedWrite
{
    std::string id;
    Instant at{};
    LogPosition position;
};

// A change of primary completed by a watcher.
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

    // Starts or stops dropping all messages between two nodes, in both directions.
    void cut(size_t a, size_t b, bool isCut);
    // Starts or stops dropping all messages between a node and all others.
    void isolate(size_t node, bool isCut);
    // Removes all cuts, ends all pauses and restarts stopped nodes. Lags and leaving marks stay.
    void healAll();

    // A paused node does nothing; messages to it are delivered after the pause.
    void pause(size_t node, Duration time);
    // A stopped member refuses connections and keeps its log; a stopped VM loses its state.
    void stop(size_t node);
    void restart(size_t node);
    // Delays replicated log entries, but not heartbeats, on their way to a member.
    void setLag(size_t member, Duration lag);
    void setLeaving(size_t member, bool leaving);

    // The VMs that watch the group, by rank.
    std::vector<size_t> watchers() const;
    // The node of the member that runs as primary in the highest term; nodeCount() if there is
    // none.
    size_t primary() const;
    const MemberState &member(size_t member) const;

    const std::vector<AcknowledgedWrite> &acknowledged() const;
    const std::vector<Promotion> &promotions() const;

    // Returns a description of the first violated invariant, or an empty string: a write was lost,
    // ran twice or ran although it was refused as not run, or a term had two primaries.
    std::string checkWrites() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
