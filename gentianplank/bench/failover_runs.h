// Single runs of a failover on a virtual clock, for the cases that measure its gap.
//
//     FailoverSimulation world(worldOf(fleet, seed));
//     const FailoverRun run = runFailure(world, [&] { world.isolate(0, true); });
#pragma once

#include "gentianplank/bench/fleet_shape.h"
#include "gentianplank/target/testing/failover_simulation.h"

#include <functional>
#include <span>
#include <vector>

namespace gentianplank {

// One failure, in milliseconds. The parts count from the failure, the gap from the last write
// acknowledged under the old primary to the first under the new one.
struct FailoverRun
{
    bool recovered = false;
    double gap = 0;
    double detection = 0;
    double agreement = 0;
    double promotion = 0;
    double firstWrite = 0;
    // What is wrong with the group's writes, or empty.
    std::string fault;
};

// The fleet's places and latencies with the times that the daemon uses.
FailoverSimulationOptions worldOf(const FleetShape &fleet, uint64_t seed);

// The naive way: one watcher that waits for a fixed 3 s and asks nobody.
FailoverSimulationOptions naiveWorldOf(const FleetShape &fleet, uint64_t seed);

// Warms the group up, breaks it, waits for a write under a new primary, heals and checks it.
FailoverRun runFailure(FailoverSimulation &world, const std::function<void()> &breakIt);

// The values of one part over all recovered runs.
std::vector<double> valuesOf(std::span<const FailoverRun> runs, double FailoverRun::*part);

size_t countFaults(std::span<const FailoverRun> runs);
size_t countUnrecovered(std::span<const FailoverRun> runs);

} // namespace gentianplank
