#include "gentianplank/bench/failover_case.h"

#include "gentianplank/bench/failover_runs.h"

namespace gentianplank {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int FailureCount = 200;
constexpr int NaiveFailureCount = 60;

// Documented targets for the time without acknowledged writes.
constexpr double MedianTargetMs = 1000;
constexpr double TailTargetMs = 2000;

constexpr Duration SteadyDuration = minutes(10);
constexpr Duration PauseInterval = seconds(2);
constexpr uint64_t MaxPauseMs = 150;
constexpr Duration SteadyJitter = milliseconds(60);

enum class FaultKind {
    IsolatedPrimary,
    StoppedPrimary,
    PausedPrimary,
    PrimaryCutFromReplicas,
    IsolatedPrimaryAndStoppedWatcher,
    RegionPartition,
    Count,
};

void partitionRegions(FailoverSimulation &simulation)
{
    for (size_t i = 0; i < simulation.nodeCount(); ++i) {
        for (size_t j = 0; j < i; ++j) {
            if (simulation.placeOf(i).region != simulation.placeOf(j).region) {
                simulation.cut(i, j, true);
            }
        }
    }
}

void failPrimary(FailoverSimulation &simulation, FaultKind kind)
{
    const size_t primary = simulation.primary();
    switch (kind) {
    case FaultKind::IsolatedPrimary:
        simulation.isolate(primary, true);
        break;
    case FaultKind::StoppedPrimary:
        simulation.stop(primary);
        break;
    case FaultKind::PausedPrimary:
        simulation.pause(primary, seconds(20));
        break;
    case FaultKind::PrimaryCutFromReplicas:
        for (size_t member = 0; member < 3; ++member) {
            if (member != primary) {
                simulation.cut(primary, member, true);
            }
        }
        break;
    case FaultKind::IsolatedPrimaryAndStoppedWatcher:
        simulation.stop(simulation.vmNode(simulation.watchers().front()));
        simulation.isolate(primary, true);
        break;
    case FaultKind::RegionPartition:
        partitionRegions(simulation);
        break;
    case FaultKind::Count:
        break;
    }
}

FaultKind faultOfRun(int i)
{
    return static_cast<FaultKind>(i % static_cast<int>(FaultKind::Count));
}

std::vector<FailoverRun> runFailures(const BenchOptions &options, bool naive, int failures)
{
    std::vector<FailoverRun> runs;
    for (int i = 0; i < failures; ++i) {
        const uint64_t seed = options.seed * 1000 + static_cast<uint64_t>(i);
        const FaultKind kind = faultOfRun(i);
        FailoverSimulationOptions simulationOptions =
            naive ? naiveFailoverOptions(options.fleet, seed)
                  : failoverOptions(options.fleet, seed);
        // A partition between the regions forces a failover only if the primary is in the smaller
        // region.
        simulationOptions.initialPrimary = kind == FaultKind::RegionPartition ? 2 : 0;
        FailoverSimulation simulation(std::move(simulationOptions));
        simulation.advance(milliseconds(seed * 37 % 100));
        runs.push_back(runFailure(simulation, [&] { failPrimary(simulation, kind); }));
    }
    return runs;
}

// Counts the promotions in a group without failures, with short pauses of VMs and members and with
// network jitter.
size_t countNeedlessSwitches(const BenchOptions &options)
{
    FailoverSimulationOptions simulationOptions = failoverOptions(options.fleet, options.seed);
    simulationOptions.jitter = SteadyJitter;
    simulationOptions.step = milliseconds(10);
    simulationOptions.writeInterval = milliseconds(200);
    FailoverSimulation simulation(simulationOptions);
    uint64_t randomState = options.seed;
    for (Duration at{}; at < SteadyDuration; at += PauseInterval) {
        randomState = randomState * 6364136223846793005ULL + 1442695040888963407ULL;
        const size_t node = (randomState >> 33) % simulation.nodeCount();
        simulation.pause(node, milliseconds((randomState >> 20) % MaxPauseMs));
        simulation.advance(PauseInterval);
    }
    return simulation.promotions().size();
}

} // namespace

CaseReport runFailoverCase(const BenchOptions &options)
{
    const std::vector<FailoverRun> runs = runFailures(options, false, FailureCount);
    const std::vector<FailoverRun> naive = runFailures(options, true, NaiveFailureCount);
    const auto gaps = valuesOf(runs, &FailoverRun::gap);
    const auto naiveGaps = valuesOf(naive, &FailoverRun::gap);
    CaseReport report;
    addFigure(report, {"gap_p50", "ms", percentile(gaps, 50), percentile(naiveGaps, 50),
                       atMost(MedianTargetMs)});
    addFigure(report, {"gap_p99", "ms", percentile(gaps, 99), percentile(naiveGaps, 99),
                       atMost(TailTargetMs)});
    const std::pair<const char *, double FailoverRun::*> phases[] = {
        {"detection", &FailoverRun::detection},
        {"agreement", &FailoverRun::agreement},
        {"promotion", &FailoverRun::promotion},
        {"first_write", &FailoverRun::firstWrite}};
    for (const auto &[name, phase] : phases) {
        const auto values = valuesOf(runs, phase);
        const auto naiveValues = valuesOf(naive, phase);
        addFigure(report, {std::string(name) + "_p50",
                           "ms",
                           percentile(values, 50),
                           percentile(naiveValues, 50),
                           {}});
        addFigure(report, {std::string(name) + "_p99",
                           "ms",
                           percentile(values, 99),
                           percentile(naiveValues, 99),
                           {}});
    }
    addFigure(report, {"failures", "runs", FailureCount, NaiveFailureCount, {}});
    addFigure(report, {"not_recovered", "runs", static_cast<double>(countUnrecovered(runs)),
                       static_cast<double>(countUnrecovered(naive)), atMost(0)});
    addFigure(report, {"lost_or_doubled", "runs", static_cast<double>(countViolations(runs)),
                       static_cast<double>(countViolations(naive)), atMost(0)});
    addFigure(report,
              {"needless_switches", "runs", static_cast<double>(countNeedlessSwitches(options)),
               std::nullopt, atMost(0)});
    return report;
}

} // namespace gentianplank
