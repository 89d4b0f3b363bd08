#include "gentianplank/bench/store_outage_case.h"

#include "gentianplank/bench/control_simulation.h"

namespace gentianplank {

namespace {

constexpr Duration WarmUpDuration = std::chrono::seconds(10);
constexpr Duration OutageDuration = std::chrono::seconds(60);
constexpr Duration Step = std::chrono::milliseconds(20);
constexpr uint64_t LossPercent = 2;
constexpr double MaxRefusedPercent = 1;
constexpr double MaxIdleReadsPerSecond = 50;
constexpr double MaxIdleWritesPerSecond = 20;

struct OutageResult
{
    double refusedPercent = 0;
    double idleReadsPerSecond = 0;
    double idleWritesPerSecond = 0;
};

OutageResult measure(const BenchOptions &options, ControlPolicy policy)
{
    ControlSimulation fleet(options.fleet, policy, options.seed);
    fleet.setLossPercent(LossPercent);
    const double readsBefore = static_cast<double>(fleet.storeReads());
    const double writesBefore = static_cast<double>(fleet.storeWrites());
    fleet.run(WarmUpDuration);
    OutageResult result;
    const double seconds = static_cast<double>(toMilliseconds(WarmUpDuration)) / 1000;
    result.idleReadsPerSecond = (static_cast<double>(fleet.storeReads()) - readsBefore) / seconds;
    result.idleWritesPerSecond =
        (static_cast<double>(fleet.storeWrites()) - writesBefore) / seconds;
    fleet.setStoreDown(true);
    double refused = 0;
    double total = 0;
    const Duration end = fleet.now() + OutageDuration;
    while (fleet.now() < end) {
        fleet.run(Step);
        for (size_t i = 0; i < fleet.vmCount(); ++i) {
            refused += fleet.serves(i) ? 0 : 1;
            total += 1;
        }
    }
    result.refusedPercent = 100 * refused / total;
    return result;
}

} // namespace

CaseReport runStoreOutageCase(const BenchOptions &options)
{
    const OutageResult full = measure(options, ControlPolicy::Full);
    const OutageResult naive = measure(options, ControlPolicy::StoreLeases);
    CaseReport report;
    addFigure(report, {"refused_in_60_s_outage", "%", full.refusedPercent, naive.refusedPercent,
                       atMost(MaxRefusedPercent)});
    addFigure(report, {"idle_store_reads", "1/s", full.idleReadsPerSecond, naive.idleReadsPerSecond,
                       atMost(MaxIdleReadsPerSecond)});
    addFigure(report, {"idle_store_writes", "1/s", full.idleWritesPerSecond,
                       naive.idleWritesPerSecond, atMost(MaxIdleWritesPerSecond)});
    return report;
}

} // namespace gentianplank
