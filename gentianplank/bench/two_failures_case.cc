#include "gentianplank/bench/two_failures_case.h"

#include "gentianplank/bench/failover_runs.h"

namespace gentianplank {

namespace {

using std::chrono::milliseconds;

constexpr int FailureCount = 100;
constexpr int NaiveFailureCount = 40;
constexpr int KindCount = 4;

// The documented targets for a single failure. The second failure has to be detected on its own.
constexpr double MedianTargetMs = 1000;
constexpr double TailTargetMs = 2000;

// Isolates the primary and, after `delay`, fails a node that the failover needs: the promoting
// watcher or the new primary.
void failTwice(FailoverSimulation &simulation, int kind, Duration delay)
{
    const size_t primary = simulation.primary();
    const size_t promoter = simulation.watchers().front();
    simulation.isolate(primary, true);
    simulation.advance(delay);
    switch (kind) {
    case 0:
        simulation.stop(simulation.vmNode(promoter));
        break;
    case 1:
        simulation.pause(simulation.vmNode(promoter), std::chrono::seconds(5));
        break;
    case 2:
        simulation.isolate(simulation.vmNode(promoter), true);
        break;
    default:
        // The old primary returns just as the new one fails.
        simulation.isolate(primary, false);
        if (simulation.primary() < simulation.nodeCount()) {
            simulation.isolate(simulation.primary(), true);
        }
        break;
    }
}

std::vector<FailoverRun> runDoubleFailures(const BenchOptions &options, bool naive, int failures)
{
    std::vector<FailoverRun> runs;
    for (int i = 0; i < failures; ++i) {
        const uint64_t seed = options.seed * 1000 + static_cast<uint64_t>(i);
        FailoverSimulation simulation(naive ? naiveFailoverOptions(options.fleet, seed)
                                            : failoverOptions(options.fleet, seed));
        const Duration delay = milliseconds(seed * 61 % 600);
        runs.push_back(
            runFailure(simulation, [&] { failTwice(simulation, i % KindCount, delay); }));
    }
    return runs;
}

} // namespace

CaseReport runTwoFailuresCase(const BenchOptions &options)
{
    const std::vector<FailoverRun> runs = runDoubleFailures(options, false, FailureCount);
    const std::vector<FailoverRun> naive = runDoubleFailures(options, true, NaiveFailureCount);
    const auto gaps = valuesOf(runs, &FailoverRun::gap);
    const auto naiveGaps = valuesOf(naive, &FailoverRun::gap);
    CaseReport report;
    addFigure(report, {"gap_p50", "ms", percentile(gaps, 50), percentile(naiveGaps, 50),
                       atMost(MedianTargetMs)});
    addFigure(report, {"gap_p99", "ms", percentile(gaps, 99), percentile(naiveGaps, 99),
                       atMost(TailTargetMs)});
    addFigure(report, {"failures", "runs", FailureCount, NaiveFailureCount, {}});
    addFigure(report, {"not_recovered", "runs", static_cast<double>(countUnrecovered(runs)),
                       static_cast<double>(countUnrecovered(naive)), atMost(0)});
    addFigure(report, {"lost_or_doubled", "runs", static_cast<double>(countViolations(runs)),
                       static_cast<double>(countViolations(naive)), atMost(0)});
    return report;
}

} // namespace gentianplank
