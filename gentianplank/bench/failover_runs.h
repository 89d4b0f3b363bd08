// Runs a single failover on a virtual clock and measures its phases, for the cases that report
// them.
//
//     FailoverSimulation simulation(failoverOptions(fleet, seed));
//     const FailoverRun run = runFailure(simulation, [&] { simulation.isolate(0, true); });
#pragma once

#include "gentianplank/bench/fleet_shape.h"
#include "gentianplank/target/testing/failover_simulation.h"

#include <functional>
#include <span>
#include <vector>

namespace gentianplank {

// The outcome of one failure; times are in milliseconds. The gap runs from the last write
// acknowledged under the old primary to the first one under the new primary. The four phases follow
// one another, starting at the failure.
struct FailoverRun
{
    // A write was acknowledged under a new primary. The times are only set in this case.
    bool recovered = false;
    double gap = 0;
    double detection = 0;
    double agreement = 0;
    double promotion = 0;
    double firstWrite = 0;
    // The violated invariant of the group's writes, or empty.
    std::string violation;
};

// Returns options with the fleet's places and latencies, and the timing of the daemon.
FailoverSimulationOptions failoverOptions(const FleetShape &fleet, uint64_t seed);

// Returns options for the naive policy: a single watcher with a fixed detection timeout of 3 s that
// decides alone.
FailoverSimulationOptions naiveFailoverOptions(const FleetShape &fleet, uint64_t seed);

// Runs the group until it is warm, calls `injectFault`, waits for a write under a new primary,
// heals all faults and checks the invariants.
FailoverRun runFailure(FailoverSimulation &simulation, const std::function<void()> &injectFault);

// Returns one of the times, such as `&FailoverRun::gap`, of every recovered run.
std::vector<double> valuesOf(std::span<const FailoverRun> runs, double FailoverRun::*phase);

size_t countViolations(std::span<const FailoverRun> runs);
size_t countUnrecovered(std::span<const FailoverRun> runs);

} // namespace gentianplank
