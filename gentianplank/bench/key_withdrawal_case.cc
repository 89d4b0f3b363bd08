#include "gentianplank/bench/key_withdrawal_case.h"

#include "gentianplank/bench/control_simulation.h"

#include <algorithm>
#include <random>

namespace gentianplank {

namespace {

constexpr int WithdrawalCount = 300;
constexpr uint64_t LossPercent = 2;
constexpr Duration Step = std::chrono::milliseconds(50);
constexpr Duration ObservationTime = std::chrono::seconds(8);
constexpr Duration MaxUseAfterWithdrawal = std::chrono::seconds(3);

struct WithdrawalResult
{
    // Times that a VM still accepted the key after MaxUseAfterWithdrawal; one sample for each VM
    // and step.
    double usesAfterLimit = 0;
    double longestMs = 0;
    double accepted = 0;
};

// Cuts up to a third of the VMs off, each from the store, from the other VMs, or from both.
void cutRandomVms(ControlSimulation &fleet, std::mt19937_64 &random)
{
    for (size_t i = 0; i < fleet.vmCount() / 3; ++i) {
        const size_t vm = random() % fleet.vmCount();
        const uint64_t kind = random() % 3;
        fleet.setCutFromStore(vm, kind != 0);
        fleet.setCutFromPeers(vm, kind != 1);
    }
}

void healAllVms(ControlSimulation &fleet)
{
    for (size_t i = 0; i < fleet.vmCount(); ++i) {
        fleet.setCutFromStore(i, false);
        fleet.setCutFromPeers(i, false);
    }
}

// Checks at every step, for ObservationTime, which VMs still accept the withdrawn key: those that
// serve requests with an older configuration.
void observe(ControlSimulation &fleet, uint64_t revision, Duration start, WithdrawalResult &result)
{
    while (fleet.now() - start < ObservationTime) {
        fleet.run(Step);
        for (size_t i = 0; i < fleet.vmCount(); ++i) {
            if (!fleet.serves(i) || fleet.revisionOf(i) >= revision) {
                continue;
            }
            const Duration age = fleet.now() - start;
            result.longestMs = std::max(result.longestMs, static_cast<double>(toMilliseconds(age)));
            result.usesAfterLimit += age > MaxUseAfterWithdrawal ? 1 : 0;
        }
    }
}

WithdrawalResult measure(const BenchOptions &options, ControlPolicy policy)
{
    ControlSimulation fleet(options.fleet, policy, options.seed);
    std::mt19937_64 random(options.seed);
    fleet.setLossPercent(LossPercent);
    WithdrawalResult result;
    for (int i = 0; i < WithdrawalCount; ++i) {
        fleet.run(std::chrono::milliseconds(3000 + random() % 1000));
        cutRandomVms(fleet, random);
        fleet.run(std::chrono::milliseconds(random() % 1000));
        const size_t vm = random() % fleet.vmCount();
        const uint64_t revision = fleet.change(vm);
        if (revision != 0) {
            const Duration storedAt = fleet.now();
            observe(fleet, revision, storedAt, result);
            result.accepted += fleet.acceptedAt(revision) != Duration{0} ? 1 : 0;
        }
        healAllVms(fleet);
    }
    return result;
}

} // namespace

CaseReport runKeyWithdrawalCase(const BenchOptions &options)
{
    const WithdrawalResult full = measure(options, ControlPolicy::Full);
    const WithdrawalResult naive = measure(options, ControlPolicy::PollingOnly);
    CaseReport report;
    addFigure(report,
              {"taken_after_3_s", "", full.usesAfterLimit, naive.usesAfterLimit, atMost(0)});
    addFigure(report, {"longest_after_storing", "ms", full.longestMs, naive.longestMs, {}});
    addFigure(report, {"withdrawals_accepted", "", full.accepted, {}, {}});
    return report;
}

} // namespace gentianplank
