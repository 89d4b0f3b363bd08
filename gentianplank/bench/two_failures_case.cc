#include "gentianplank/bench/two_failures_case.h"

#include "gentianplank/bench/failover_runs.h"

namespace gentianplank {

namespace {

using std::chrono::milliseconds;

constexpr int Failures = 100;
constexpr int NaiveFailures = 40;
constexpr int Kinds = 4;

// The stated targets for a failure; the second one starts its own detection.
constexpr double MedianTargetMs = 1000;
constexpr double TailTargetMs = 2000;

// Fails the primary and, some time after, something that the change of primary needs.
void breakTwice(FailoverSimulation &world, int kind, Duration later)
{
    const size_t primary = world.primary();
    const size_t promoter = world.watchers().front();
    world.isolate(primary, true);
    world.advance(later);
    switch (kind) {
    case 0:
        world.stop(world.vmNode(promoter));
        break;
    case 1:
        world.pause(world.vmNode(promoter), std::chrono::seconds(5));
        break;
    case 2:
        world.isolate(world.vmNode(promoter), true);
        break;
    default:
        // The first primary comes back just as its successor fails.
        world.isolate(primary, false);
        if (world.primary() < world.nodeCount()) {
            world.isolate(world.primary(), true);
        }
        break;
    }
}

std::vector<FailoverRun> runTwice(const BenchOptions &options, bool naive, int failures)
{
    std::vector<FailoverRun> runs;
    for (int i = 0; i < failures; ++i) {
        const uint64_t seed = options.seed * 1000 + static_cast<uint64_t>(i);
        FailoverSimulation world(naive ? naiveWorldOf(options.fleet, seed)
                                       : worldOf(options.fleet, seed));
        const Duration later = milliseconds(seed * 61 % 600);
        runs.push_back(runFailure(world, [&] { breakTwice(world, i % Kinds, later); }));
    }
    return runs;
}

} // namespace

CaseReport runTwoFailuresCase(const BenchOptions &options)
{
    const std::vector<FailoverRun> runs = runTwice(options, false, Failures);
    const std::vector<FailoverRun> naive = runTwice(options, true, NaiveFailures);
    const auto gaps = valuesOf(runs, &FailoverRun::gap);
    const auto naiveGaps = valuesOf(naive, &FailoverRun::gap);
    CaseReport report;
    addFigure(report, {"gap_p50", "ms", percentile(gaps, 50), percentile(naiveGaps, 50),
                       atMost(MedianTargetMs)});
    addFigure(report, {"gap_p99", "ms", percentile(gaps, 99), percentile(naiveGaps, 99),
                       atMost(TailTargetMs)});
    addFigure(report, {"failures", "runs", Failures, NaiveFailures, {}});
    addFigure(report, {"not_recovered", "runs", static_cast<double>(countUnrecovered(runs)),
                       static_cast<double>(countUnrecovered(naive)), atMost(0)});
    addFigure(report, {"lost_or_doubled", "runs", static_cast<double>(countFaults(runs)),
                       static_cast<double>(countFaults(naive)), atMost(0)});
    return report;
}

} // namespace gentianplank
