#include "gentianplank/bench/failover_runs.h"

#include <algorithm>

namespace gentianplank {

namespace {

constexpr Duration WarmUp = std::chrono::milliseconds(1500);
constexpr Duration LongestGap = std::chrono::seconds(12);
constexpr Duration WaitStep = std::chrono::milliseconds(20);
constexpr Duration HealTime = std::chrono::seconds(4);
constexpr Duration NaiveSilence = std::chrono::seconds(3);
constexpr Duration MessageJitter = std::chrono::milliseconds(4);

double millisecondsBetween(Instant from, Instant to)
{
    return static_cast<double>((to - from).count()) / 1000.0;
}

// The first write that was acknowledged in a later term than `term`; nullptr when there is none.
const AcknowledgedWrite *firstAfter(const FailoverSimulation &world, uint64_t term)
{
    const AcknowledgedWrite *first = nullptr;
    for (const AcknowledgedWrite &it : world.acknowledged()) {
        if (it.position.term > term && (first == nullptr || it.at < first->at)) {
            first = &it;
        }
    }
    return first;
}

Instant lastIn(const FailoverSimulation &world, uint64_t term)
{
    Instant last{};
    for (const AcknowledgedWrite &it : world.acknowledged()) {
        if (it.position.term <= term) {
            last = std::max(last, it.at);
        }
    }
    return last;
}

void splitGap(const FailoverSimulation &world, Instant brokenAt, const AcknowledgedWrite &first,
              FailoverRun &run)
{
    for (const Promotion &it : world.promotions()) {
        if (it.term == first.position.term) {
            run.detection = millisecondsBetween(brokenAt, it.timeline.suspectedAt);
            run.agreement = millisecondsBetween(it.timeline.suspectedAt, it.timeline.agreedAt);
            run.promotion = millisecondsBetween(it.timeline.agreedAt, it.timeline.promotedAt);
            run.firstWrite = millisecondsBetween(it.timeline.promotedAt, first.at);
        }
    }
}

} // namespace

FailoverSimulationOptions worldOf(const FleetShape &fleet, uint64_t seed)
{
    FailoverSimulationOptions options;
    options.members = fleet.members;
    options.vms = fleet.vms;
    options.latency = [fleet](const Place &a, const Place &b) {
        return latencyBetween(fleet, a, b);
    };
    options.jitter = MessageJitter;
    options.step = std::chrono::milliseconds(2);
    options.writers = 2;
    options.seed = seed;
    return options;
}

FailoverSimulationOptions naiveWorldOf(const FleetShape &fleet, uint64_t seed)
{
    FailoverSimulationOptions options = worldOf(fleet, seed);
    options.timing.detectionTimeout = NaiveSilence;
    options.timing.disconnectedTimeout = NaiveSilence;
    options.timing.unconfirmedTimeout = NaiveSilence;
    options.timing.suspicionTimeout = NaiveSilence;
    options.watcherCount = 1;
    return options;
}

FailoverRun runFailure(FailoverSimulation &world, const std::function<void()> &breakIt)
{
    world.advance(WarmUp);
    const size_t primary = world.primary();
    const uint64_t term = world.member(primary).term;
    const Instant brokenAt = world.now();
    breakIt();
    while (firstAfter(world, term) == nullptr && world.now() - brokenAt < LongestGap) {
        world.advance(WaitStep);
    }
    FailoverRun run;
    const AcknowledgedWrite *first = firstAfter(world, term);
    run.recovered = first != nullptr;
    if (run.recovered) {
        run.gap = millisecondsBetween(lastIn(world, term), first->at);
        splitGap(world, brokenAt, *first, run);
    }
    world.healAll();
    world.advance(HealTime);
    run.fault = world.checkWrites();
    return run;
}

std::vector<double> valuesOf(std::span<const FailoverRun> runs, double FailoverRun::*part)
{
    std::vector<double> values;
    for (const FailoverRun &it : runs) {
        if (it.recovered) {
            values.push_back(it.*part);
        }
    }
    return values;
}

size_t countFaults(std::span<const FailoverRun> runs)
{
    return static_cast<size_t>(std::count_if(
        runs.begin(), runs.end(), [](const FailoverRun &it) { return !it.fault.empty(); }));
}

size_t countUnrecovered(std::span<const FailoverRun> runs)
{
    return static_cast<size_t>(std::count_if(runs.begin(), runs.end(),
                                             [](const FailoverRun &it) { return !it.recovered; }));
}

} // namespace gentianplank
