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
// How long the busiest VM of an organisation stays the same.
constexpr Duration HopInterval = std::chrono::seconds(2);
constexpr double Inside = 0.9;
constexpr double Above = 3.0;
constexpr double TargetSteady = 0.1;
constexpr double TargetFault = 1.0;

// A few large organisations and small ones.
const std::vector<RateLimit> Limits{{400, 160}, {200, 80}, {100, 40}, {50, 20},
                                    {50, 20},   {25, 10},  {10, 5},   {5, 5}};

enum class Fault {
    None,
    Death,
    Outage,
    DeathInOutage,
};

struct Tally
{
    double offered = 0;
    double wrongful = 0;
    double naiveWrongful = 0;
    // The most by which a window passed rate and burst, in statements.
    double excess = 0;
    uint64_t messages = 0;

    double percent() const { return 100 * wrongful / offered; }
    double naivePercent() const { return 100 * naiveWrongful / offered; }
};

// Counts below zero what a bucket that refuses nothing would owe.
struct DebtBucket
{
    RateLimit limit;
    double tokens = 0;
    Instant at{};

    double take(Instant now)
    {
        const double seconds = static_cast<double>((now - at).count()) / 1e6;
        tokens = std::min(limit.burst, tokens + seconds * limit.perSecond) - 1;
        at = now;
        return tokens;
    }
};

struct Run
{
    size_t organisation = 0;
    double load = Inside;
    // Half of the load is at one VM, which changes every HopInterval.
    bool hops = true;
    Fault fault = Fault::None;
    size_t victim = 0;
};

RateSimulationOptions fleetOptions(const FleetShape &shape, size_t organisation)
{
    RateSimulationOptions options;
    options.organisation = "organisation-" + std::to_string(organisation);
    options.jitter = std::chrono::milliseconds(3);
    options.drift = {0, LargestClockDrift / 2, -LargestClockDrift / 2};
    options.distance = [shape](size_t from, size_t to) {
        return latencyBetween(shape, shape.vms[from], shape.vms[to]);
    };
    return options;
}

void applyFault(RateSimulation &fleet, const Run &run, Duration passed)
{
    const bool hasOutage = run.fault == Fault::Outage || run.fault == Fault::DeathInOutage;
    if (hasOutage && (passed == FaultAt || passed == FaultAt + OutageDuration)) {
        fleet.setStoreDown(passed == FaultAt);
    }
    const Duration deathAt = run.fault == Fault::DeathInOutage ? 2 * FaultAt : FaultAt;
    const bool hasDeath = run.fault == Fault::Death || run.fault == Fault::DeathInOutage;
    if (hasDeath && passed == deathAt) {
        fleet.kill(run.victim);
    }
}

void measure(const BenchOptions &options, const Run &run, Tally &tally)
{
    const RateLimit limit = Limits[run.organisation];
    const size_t n = options.fleet.vms.size();
    const uint64_t seed = options.seed * 1000 + run.organisation * 10 + run.victim;
    RateSimulation fleet(limit, n, fleetOptions(options.fleet, run.organisation), seed);
    std::mt19937_64 random(seed + 1);
    const auto vms = static_cast<double>(n);
    const Instant start = fleet.now();
    TokenBucket central = makeTokenBucket(limit, start);
    std::vector<TokenBucket> parts(
        n, makeTokenBucket({limit.perSecond / vms, limit.burst / vms}, start));
    DebtBucket checked{limit, limit.burst, start};
    double refused = 0;
    double centralRefused = 0;
    double naiveRefused = 0;
    fleet.onRefused = [&](Instant) { ++refused; };
    fleet.onAdmitted = [&](Instant, Instant at) {
        tally.excess = std::max(tally.excess, -checked.take(at));
    };
    double due = 0;
    size_t busy = 0;
    for (Duration passed{0}; passed < RunDuration; passed += Step) {
        applyFault(fleet, run, passed);
        busy = passed % HopInterval == Duration::zero() ? random() % n : busy;
        const double noise = static_cast<double>(random() % 2000) / 1000;
        due += run.load * limit.perSecond * static_cast<double>(Step.count()) / 1e6 * noise;
        for (; due >= 1; due -= 1) {
            size_t vm = run.hops && random() % 2 == 0 ? busy : random() % n;
            while (!fleet.isUp(vm)) {
                vm = (vm + 1) % n;
            }
            ++tally.offered;
            centralRefused += tryTakeToken(central, fleet.now()) ? 0 : 1;
            naiveRefused += tryTakeToken(parts[vm], fleet.now()) ? 0 : 1;
            fleet.arrive(vm);
        }
        fleet.advance(Step);
    }
    tally.wrongful += std::max(0.0, refused - centralRefused);
    tally.naiveWrongful += std::max(0.0, naiveRefused - centralRefused);
    tally.messages += fleet.messages();
}

Tally measureAll(const BenchOptions &options, Run run)
{
    Tally tally;
    for (run.organisation = 0; run.organisation < Limits.size(); ++run.organisation) {
        measure(options, run, tally);
    }
    return tally;
}

Tally measureEachVictim(const BenchOptions &options, Run run, double *worst)
{
    Tally sum;
    for (size_t victim = 0; victim < options.fleet.vms.size(); ++victim) {
        run.victim = victim;
        const Tally tally = measureAll(options, run);
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
    const Tally steady = measureAll(options, {0, Inside, true, Fault::None, 0});
    addFigure(report, {"refused_inside_steady", "%", steady.percent(), steady.naivePercent(),
                       atMost(TargetSteady)});
    const Tally outage = measureAll(options, {0, Inside, true, Fault::Outage, 0});
    addFigure(report, {"refused_inside_outage_60s", "%", outage.percent(), outage.naivePercent(),
                       atMost(TargetFault)});
    const Tally above = measureAll(options, {0, Above, true, Fault::Outage, 0});
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
    const Tally even = measureEachVictim(options, {0, Inside, false, Fault::Death, 0}, &worst);
    addFigure(report, {"refused_inside_even_load", "%", even.percent(), even.naivePercent(),
                       atMost(TargetFault)});
    addFigure(report,
              {"refused_inside_even_worst_vm", "%", worst, std::nullopt, atMost(TargetFault)});
    double worstMoving = 0;
    const Tally death =
        measureEachVictim(options, {0, Inside, true, Fault::Death, 0}, &worstMoving);
    addFigure(report, {"refused_inside_moving_load", "%", death.percent(), death.naivePercent(),
                       atMost(TargetFault)});
    double worstInOutage = 0;
    const Tally both =
        measureEachVictim(options, {0, Inside, false, Fault::DeathInOutage, 0}, &worstInOutage);
    addFigure(report,
              {"refused_inside_death_in_outage", "%", both.percent(), both.naivePercent(), {}});
    double ignored = 0;
    const Tally above = measureEachVictim(options, {0, Above, true, Fault::Death, 0}, &ignored);
    const double excess = std::max({even.excess, death.excess, both.excess, above.excess, 0.0});
    addFigure(report, {"over_rate_and_burst", "statements", excess, std::nullopt, atMost(1e-6)});
    return report;
}

} // namespace gentianplank
