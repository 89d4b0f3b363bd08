#include "gentianplank/bench/configuration_spread_case.h"

#include "gentianplank/bench/control_simulation.h"

#include <random>

namespace gentianplank {

namespace {

constexpr int ChangeCount = 1000;
constexpr uint64_t LossPercent = 2;
constexpr Duration Step = std::chrono::milliseconds(10);
constexpr Duration MaxWait = std::chrono::seconds(20);
constexpr double TargetP99Ms = 2000;

struct SpreadResult
{
    std::vector<double> inForceMs;
    std::vector<double> acceptedMs;
    double reverted = 0;
};

// Whether every VM that serves requests has applied the revision.
bool isAppliedByServingVms(const ControlSimulation &fleet, uint64_t revision)
{
    for (size_t i = 0; i < fleet.vmCount(); ++i) {
        if (fleet.serves(i) && fleet.revisionOf(i) < revision) {
            return false;
        }
    }
    return true;
}

SpreadResult measure(const BenchOptions &options, ControlPolicy policy)
{
    ControlSimulation fleet(options.fleet, policy, options.seed);
    std::mt19937_64 random(options.seed);
    fleet.setLossPercent(LossPercent);
    SpreadResult result;
    for (int i = 0; i < ChangeCount; ++i) {
        fleet.run(std::chrono::milliseconds(random() % 1000));
        const size_t vm = random() % fleet.vmCount();
        // Measure from when the operator sent the change.
        const Duration start = fleet.now() - fleet.storeDelay(vm);
        const uint64_t revision = fleet.change(vm);
        while (!isAppliedByServingVms(fleet, revision) && fleet.now() - start < MaxWait) {
            fleet.run(Step);
        }
        result.inForceMs.push_back(static_cast<double>(toMilliseconds(fleet.now() - start)));
        if (fleet.acceptedAt(revision) != Duration{0}) {
            result.acceptedMs.push_back(
                static_cast<double>(toMilliseconds(fleet.acceptedAt(revision) - start)));
        }
    }
    result.reverted = static_cast<double>(fleet.reverted());
    return result;
}

} // namespace

CaseReport runConfigurationSpreadCase(const BenchOptions &options)
{
    const SpreadResult full = measure(options, ControlPolicy::Full);
    const SpreadResult naive = measure(options, ControlPolicy::PollingOnly);
    CaseReport report;
    addFigure(report, {"in_force_p50",
                       "ms",
                       percentile(full.inForceMs, 50),
                       percentile(naive.inForceMs, 50),
                       {}});
    addFigure(report, {"in_force_p99", "ms", percentile(full.inForceMs, 99),
                       percentile(naive.inForceMs, 99), atMost(TargetP99Ms)});
    addFigure(report, {"in_force_longest",
                       "ms",
                       percentile(full.inForceMs, 100),
                       percentile(naive.inForceMs, 100),
                       {}});
    addFigure(report, {"accepted_p50", "ms", percentile(full.acceptedMs, 50), {}, {}});
    addFigure(report, {"reverted", "", full.reverted, naive.reverted, atMost(0)});
    return report;
}

} // namespace gentianplank
