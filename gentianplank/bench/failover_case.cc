#include "gentianplank/bench/failover_case.h"

#include "gentianplank/bench/failover_runs.h"

namespace gentianplank {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int Failures = 200;
constexpr int NaiveFailures = 60;

// The stated targets.
constexpr double MedianTargetMs = 1000;
constexpr double TailTargetMs = 2000;

constexpr Duration QuietTime = minutes(10);
constexpr Duration PauseEvery = seconds(2);
constexpr uint64_t LongestPauseMs = 150;
constexpr Duration QuietJitter = milliseconds(60);

enum class Kind {
    IsolatedMember,
    StoppedMember,
    PausedMember,
    CutFromReplicas,
    IsolatedWithDeadWatcher,
    RegionCut,
    Count,
};

void cutRegions(FailoverSimulation &world)
{
    for (size_t i = 0; i < world.nodeCount(); ++i) {
        for (size_t j = 0; j < i; ++j) {
            if (world.placeOf(i).region != world.placeOf(j).region) {
                world.cut(i, j, true);
            }
        }
    }
}

void breakPrimary(FailoverSimulation &world, Kind kind)
{
    const size_t primary = world.primary();
    switch (kind) {
    case Kind::IsolatedMember:
        world.isolate(primary, true);
        break;
    case Kind::StoppedMember:
        world.stop(primary);
        break;
    case Kind::PausedMember:
        world.pause(primary, seconds(20));
        break;
    case Kind::CutFromReplicas:
        for (size_t member = 0; member < 3; ++member) {
            if (member != primary) {
                world.cut(primary, member, true);
            }
        }
        break;
    case Kind::IsolatedWithDeadWatcher:
        world.stop(world.vmNode(world.watchers().front()));
        world.isolate(primary, true);
        break;
    case Kind::RegionCut:
        cutRegions(world);
        break;
    case Kind::Count:
        break;
    }
}

Kind kindOf(int i)
{
    return static_cast<Kind>(i % static_cast<int>(Kind::Count));
}

std::vector<FailoverRun> runMixed(const BenchOptions &options, bool naive, int failures)
{
    std::vector<FailoverRun> runs;
    for (int i = 0; i < failures; ++i) {
        const uint64_t seed = options.seed * 1000 + static_cast<uint64_t>(i);
        const Kind kind = kindOf(i);
        FailoverSimulationOptions worldOptions =
            naive ? naiveWorldOf(options.fleet, seed) : worldOf(options.fleet, seed);
        // A cut between the regions costs the primary when it stands in the smaller one.
        worldOptions.firstPrimary = kind == Kind::RegionCut ? 2 : 0;
        FailoverSimulation world(std::move(worldOptions));
        world.advance(milliseconds(seed * 37 % 100));
        runs.push_back(runFailure(world, [&] { breakPrimary(world, kind); }));
    }
    return runs;
}

// Changes of primary in a quiet group whose VMs and members pause and whose network jitters.
size_t countNeedlessSwitches(const BenchOptions &options)
{
    FailoverSimulationOptions world = worldOf(options.fleet, options.seed);
    world.jitter = QuietJitter;
    world.step = milliseconds(10);
    world.writeInterval = milliseconds(200);
    FailoverSimulation quiet(world);
    uint64_t draw = options.seed;
    for (Duration at{}; at < QuietTime; at += PauseEvery) {
        draw = draw * 6364136223846793005ULL + 1442695040888963407ULL;
        const size_t node = (draw >> 33) % quiet.nodeCount();
        quiet.pause(node, milliseconds((draw >> 20) % LongestPauseMs));
        quiet.advance(PauseEvery);
    }
    return quiet.promotions().size();
}

} // namespace

CaseReport runFailoverCase(const BenchOptions &options)
{
    const std::vector<FailoverRun> runs = runMixed(options, false, Failures);
    const std::vector<FailoverRun> naive = runMixed(options, true, NaiveFailures);
    const auto gaps = valuesOf(runs, &FailoverRun::gap);
    const auto naiveGaps = valuesOf(naive, &FailoverRun::gap);
    CaseReport report;
    addFigure(report, {"gap_p50", "ms", percentile(gaps, 50), percentile(naiveGaps, 50),
                       atMost(MedianTargetMs)});
    addFigure(report, {"gap_p99", "ms", percentile(gaps, 99), percentile(naiveGaps, 99),
                       atMost(TailTargetMs)});
    const std::pair<const char *, double FailoverRun::*> parts[] = {
        {"detection", &FailoverRun::detection},
        {"agreement", &FailoverRun::agreement},
        {"promotion", &FailoverRun::promotion},
        {"first_write", &FailoverRun::firstWrite}};
    for (const auto &[name, part] : parts) {
        const auto values = valuesOf(runs, part);
        const auto naiveValues = valuesOf(naive, part);
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
    addFigure(report, {"failures", "runs", Failures, NaiveFailures, {}});
    addFigure(report, {"not_recovered", "runs", static_cast<double>(countUnrecovered(runs)),
                       static_cast<double>(countUnrecovered(naive)), atMost(0)});
    addFigure(report, {"lost_or_doubled", "runs", static_cast<double>(countFaults(runs)),
                       static_cast<double>(countFaults(naive)), atMost(0)});
    addFigure(report,
              {"needless_switches", "runs", static_cast<double>(countNeedlessSwitches(options)),
               std::nullopt, atMost(0)});
    return report;
}

} // namespace gentianplank
