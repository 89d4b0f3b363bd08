#include "gentianplank/bench/wrongful_refusals_case.h"

#include "gentianplank/organisation/testing/rate_simulation.h"
#include "gentianplank/organisation/token_bucket.h"

#include <algorithm>

namespace gentianplank {

namespace {

constexpr Duration Step = std::chrono::milliseconds(10);
constexpr Duration RunDuration = std::chrono::seconds(90);
constexpr Duration FaultAt = std::chrono::seconds(15);
constexpr Duration OutageDuration = std::chrono::seconds(60);
// How long the same VM receives half of an organisation's load.
constexpr Duration BusyVmInterval = std::chrono::seconds(2);
constexpr double LoadInsideRate = 0.9;
constexpr double LoadAboveRate = 3.0;
constexpr double MaxSteadyPercent = 0.1;
constexpr double MaxFaultPercent = 1.0;

// Organisations from large to small.
const std::vector<RateLimit> Limits{{400, 160}, {200, 80}, {100, 40}, {50, 20},
                                    {50, 20},   {25, 10},  {10, 5},   {5, 5}};

enum class Fault {
    None,
    VmFailure,
    StoreOutage,
    VmFailureInOutage,
};

struct Tally
{
    double offered = 0;
    // Refusals beyond those of one central token bucket with the same arrivals. The naive policy
    // gives each VM a fixed, equal share of the rate.
    double wrongful = 0;
    double naiveWrongful = 0;
    // The largest number of statements admitted beyond rate and burst in any window.
    double excess = 0;
    uint64_t messages = 0;

    double percent() const { return 100 * wrongful / offered; }
    double naivePercent() const { return 100 * naiveWrongful / offered; }
};

// A token bucket that never refuses. A negative number of tokens is the excess over rate and burst.
struct NonRefusingBucket
{
    RateLimit limit;
    double tokens = 0;
    Instant at{};

    // Returns the tokens left, which may be negative.
    double takeToken(Instant now)
    {
        const double seconds = static_cast<double>((now - at).count()) / 1e6;
        tokens = std::min(limit.burst, tokens + seconds * limit.perSecond) - 1;
        at = now;
        return tokens;
    }
};

struct Scenario
{
    size_t organisation = 0;
    // The offered load as a multiple of the rate limit.
    double loadFactor = LoadInsideRate;
    // Half of the load arrives at one VM, which changes every BusyVmInterval. Other statements
    // arrive at random VMs.
    bool hasBusyVm = true;
    Fault fault = Fault::None;
    size_t failedVm = 0;
};

RateSimulationOptions simulationOptions(const FleetShape &shape, size_t organisation)
{
    RateSimulationOptions options;
    options.organisation = "organisation-" + std::to_string(organisation);
    options.jitter = std::chrono::milliseconds(3);
    options.drift = {0, MaxClockDrift / 2, -MaxClockDrift / 2};
    options.distance = [shape](size_t from, size_t to) {
        return latencyBetween(shape, shape.vms[from], shape.vms[to]);
    };
    return options;
}

void applyFault(RateSimulation &fleet, const Scenario &scenario, Duration passed)
{
    const bool hasOutage =
        scenario.fault == Fault::StoreOutage || scenario.fault == Fault::VmFailureInOutage;
    if (hasOutage && (passed == FaultAt || passed == FaultAt + OutageDuration)) {
        fleet.setStoreDown(passed == FaultAt);
    }
    const Duration failureAt = scenario.fault == Fault::VmFailureInOutage ? 2 * FaultAt : FaultAt;
    const bool hasVmFailure =
        scenario.fault == Fault::VmFailure || scenario.fault == Fault::VmFailureInOutage;
    if (hasVmFailure && passed == failureAt) {
        fleet.kill(scenario.failedVm);
    }
}

void measure(const BenchOptions &options, const Scenario &scenario, Tally &tally)
{
    const RateLimit limit = Limits[scenario.organisation];
    const size_t n = options.fleet.vms.size();
    const uint64_t seed = options.seed * 1000 + scenario.organisation * 10 + scenario.failedVm;
    RateSimulation fleet(limit, n, simulationOptions(options.fleet, scenario.organisation), seed);
    std::mt19937_64 random(seed + 1);
    const auto vms = static_cast<double>(n);
    const Instant start = fleet.now();
    TokenBucket centralBucket = makeTokenBucket(limit, start);
    std::vector<TokenBucket> vmBuckets(
        n, makeTokenBucket({limit.perSecond / vms, limit.burst / vms}, start));
    NonRefusingBucket excessBucket{limit, limit.burst, start};
    double refused = 0;
    double centralRefused = 0;
    double naiveRefused = 0;
    fleet.onRefused = [&](Instant) { ++refused; };
    fleet.onAdmitted = [&](Instant, Instant at) {
        tally.excess = std::max(tally.excess, -excessBucket.takeToken(at));
    };
    double dueStatements = 0;
    size_t busyVm = 0;
    for (Duration passed{0}; passed < RunDuration; passed += Step) {
        applyFault(fleet, scenario, passed);
        busyVm = passed % BusyVmInterval == Duration::zero() ? random() % n : busyVm;
        const double noise = static_cast<double>(random() % 2000) / 1000;
        dueStatements +=
            scenario.loadFactor * limit.perSecond * static_cast<double>(Step.count()) / 1e6 * noise;
        for (; dueStatements >= 1; dueStatements -= 1) {
            size_t vm = scenario.hasBusyVm && random() % 2 == 0 ? busyVm : random() % n;
            while (!fleet.isUp(vm)) {
                vm = (vm + 1) % n;
            }
            ++tally.offered;
            centralRefused += tryTakeToken(centralBucket, fleet.now()) ? 0 : 1;
            naiveRefused += tryTakeToken(vmBuckets[vm], fleet.now()) ? 0 : 1;
            fleet.arrive(vm);
        }
        fleet.advance(Step);
    }
    tally.wrongful += std::max(0.0, refused - centralRefused);
    tally.naiveWrongful += std::max(0.0, naiveRefused - centralRefused);
    tally.messages += fleet.messages();
}

Tally measureAll(const BenchOptions &options, Scenario scenario)
{
    Tally tally;
    for (scenario.organisation = 0; scenario.organisation < Limits.size();
         ++scenario.organisation) {
        measure(options, scenario, tally);
    }
    return tally;
}

Tally measureEachFailedVm(const BenchOptions &options, Scenario scenario, double *worst)
{
    Tally sum;
    for (size_t failedVm = 0; failedVm < options.fleet.vms.size(); ++failedVm) {
        scenario.failedVm = failedVm;
        const Tally tally = measureAll(options, scenario);
        *worst = std::max(*worst, tally.percent());
        sum.offered += tally.offered;
        sum.wrongful += tally.wrongful;
        sum.naiveWrongful += tally.naiveWrongful;
        sum.excess = std::max(sum.excess, tally.excess);
    }
    return sum;
}

} // namespace

CaseReport runWrongfulRefusalsCase(const BenchOptions &options)
{
    CaseReport report;
    const Tally steady = measureAll(options, {0, LoadInsideRate, true, Fault::None, 0});
    addFigure(report, {"refused_inside_steady", "%", steady.percent(), steady.naivePercent(),
                       atMost(MaxSteadyPercent)});
    const Tally outage = measureAll(options, {0, LoadInsideRate, true, Fault::StoreOutage, 0});
    addFigure(report, {"refused_inside_outage_60s", "%", outage.percent(), outage.naivePercent(),
                       atMost(MaxFaultPercent)});
    const Tally above = measureAll(options, {0, LoadAboveRate, true, Fault::StoreOutage, 0});
    const double excess = std::max({steady.excess, outage.excess, above.excess, 0.0});
    addFigure(report, {"over_rate_and_burst", "statements", excess, std::nullopt, atMost(1e-6)});
    const double vmSeconds = static_cast<double>(options.fleet.vms.size()) *
                             static_cast<double>(RunDuration.count()) / 1e6;
    addFigure(report, {"messages_per_vm_second",
                       "1/s",
                       static_cast<double>(steady.messages) / vmSeconds,
                       std::nullopt,
                       {}});
    return report;
}

CaseReport runVmDeathCase(const BenchOptions &options)
{
    CaseReport report;
    double worst = 0;
    const Tally even =
        measureEachFailedVm(options, {0, LoadInsideRate, false, Fault::VmFailure, 0}, &worst);
    addFigure(report, {"refused_inside_even_load", "%", even.percent(), even.naivePercent(),
                       atMost(MaxFaultPercent)});
    addFigure(report,
              {"refused_inside_even_worst_vm", "%", worst, std::nullopt, atMost(MaxFaultPercent)});
    double worstMoving = 0;
    const Tally moving =
        measureEachFailedVm(options, {0, LoadInsideRate, true, Fault::VmFailure, 0}, &worstMoving);
    addFigure(report, {"refused_inside_moving_load", "%", moving.percent(), moving.naivePercent(),
                       atMost(MaxFaultPercent)});
    double worstInOutage = 0;
    const Tally failureInOutage = measureEachFailedVm(
        options, {0, LoadInsideRate, false, Fault::VmFailureInOutage, 0}, &worstInOutage);
    addFigure(report, {"refused_inside_death_in_outage",
                       "%",
                       failureInOutage.percent(),
                       failureInOutage.naivePercent(),
                       {}});
    double unusedWorst = 0;
    const Tally above =
        measureEachFailedVm(options, {0, LoadAboveRate, true, Fault::VmFailure, 0}, &unusedWorst);
    const double excess =
        std::max({even.excess, moving.excess, failureInOutage.excess, above.excess, 0.0});
    addFigure(report, {"over_rate_and_burst", "statements", excess, std::nullopt, atMost(1e-6)});
    return report;
}

} // namespace gentianplank
