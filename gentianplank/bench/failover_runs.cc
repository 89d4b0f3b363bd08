#include "gentianplank/bench/failover_runs.h"

#include <algorithm>

namespace gentianplank {

namespace {

constexpr Duration WarmUp = std::chrono::milliseconds(1500);
constexpr Duration MaxRecoveryTime = std::chrono::seconds(12);
constexpr Duration WaitStep = std::chrono::milliseconds(20);
constexpr Duration SettleTime = std::chrono::seconds(4);
constexpr Duration NaiveDetectionTimeout = std::chrono::seconds(3);
constexpr Duration MessageJitter = std::chrono::milliseconds(4);

double millisecondsBetween(Instant from, Instant to)
{
    return static_cast<double>((to - from).count()) / 1000.0;
}

// Returns the first write acknowledged in a later term than `term`, or nullptr if there is none.
const AcknowledgedWrite *firstWriteAfter(const FailoverSimulation &simulation, uint64_t term)
{
    const AcknowledgedWrite *first = nullptr;
    for (const AcknowledgedWrite &it : simulation.acknowledged()) {
        if (it.position.term > term && (first == nullptr || it.at < first->at)) {
            first = &it;
        }
    }
    return first;
}

// Returns the time of the last acknowledgement of a write of `term` or an earlier term.
Instant lastWriteUpTo(const FailoverSimulation &simulation, uint64_t term)
{
    Instant last{};
    for (const AcknowledgedWrite &it : simulation.acknowledged()) {
        if (it.position.term <= term) {
            last = std::max(last, it.at);
        }
    }
    return last;
}

void splitIntoPhases(const FailoverSimulation &simulation, Instant failedAt,
                     const AcknowledgedWrite &first, FailoverRun &run)
{
    for (const Promotion &it : simulation.promotions()) {
        if (it.term == first.position.term) {
            run.detection = millisecondsBetween(failedAt, it.timeline.suspectedAt);
            run.agreement = millisecondsBetween(it.timeline.suspectedAt, it.timeline.agreedAt);
            run.promotion = millisecondsBetween(it.timeline.agreedAt, it.timeline.promotedAt);
            run.firstWrite = millisecondsBetween(it.timeline.promotedAt, first.at);
        }
    }
}

} // namespace

FailoverSimulationOptions failoverOptions(const FleetShape &fleet, uint64_t seed)
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

FailoverSimulationOptions naiveFailoverOptions(const FleetShape &fleet, uint64_t seed)
{
    FailoverSimulationOptions options = failoverOptions(fleet, seed);
    options.timing.detectionTimeout = NaiveDetectionTimeout;
    options.timing.disconnectedTimeout = NaiveDetectionTimeout;
    options.timing.unconfirmedTimeout = NaiveDetectionTimeout;
    options.timing.suspicionTimeout = NaiveDetectionTimeout;
    options.watcherCount = 1;
    return options;
}

FailoverRun runFailure(FailoverSimulation &simulation, const std::function<void()> &injectFault)
{
    simulation.advance(WarmUp);
    const size_t primary = simulation.primary();
    const uint64_t term = simulation.member(primary).term;
    const Instant failedAt = simulation.now();
    injectFault();
    while (firstWriteAfter(simulation, term) == nullptr &&
           simulation.now() - failedAt < MaxRecoveryTime) {
        simulation.advance(WaitStep);
    }
    FailoverRun run;
    const AcknowledgedWrite *first = firstWriteAfter(simulation, term);
    run.recovered = first != nullptr;
    if (run.recovered) {
        run.gap = millisecondsBetween(lastWriteUpTo(simulation, term), first->at);
        splitIntoPhases(simulation, failedAt, *first, run);
    }
    simulation.healAll();
    simulation.advance(SettleTime);
    run.violation = simulation.checkWrites();
    return run;
}

std::vector<double> valuesOf(std::span<const FailoverRun> runs, double FailoverRun::*phase)
{
    std::vector<double> values;
    for (const FailoverRun &it : runs) {
        if (it.recovered) {
            values.push_back(it.*phase);
        }
    }
    return values;
}

size_t countViolations(std::span<const FailoverRun> runs)
{
    return static_cast<size_t>(std::count_if(
        runs.begin(), runs.end(), [](const FailoverRun &it) { return !it.violation.empty(); }));
}

size_t countUnrecovered(std::span<const FailoverRun> runs)
{
    return static_cast<size_t>(std::count_if(runs.begin(), runs.end(),
                                             [](const FailoverRun &it) { return !it.recovered; }));
}

} // namespace gentianplank
