#include "gentianplank/organisation/testing/rate_simulation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

namespace gentianplank {

namespace {

// Runs per random set of conditions.
constexpr uint64_t RunsPerCase = 10;
constexpr Duration Step = std::chrono::milliseconds(10);

// Tolerance for rounding in the sums over a run.
constexpr double Rounding = 1e-6;

// Reference: a single token bucket that sees all statements.
class CentralBucket
{
public:
    CentralBucket(RateLimit limit, Instant now)
        : m_limit(limit)
        , m_tokens(limit.burst)
        , m_at(now)
    {}

    // Takes a token, also below zero, and returns the balance.
    double take(Instant now)
    {
        fill(now);
        return m_tokens -= 1;
    }

    bool offer(Instant now)
    {
        fill(now);
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    void fill(Instant now)
    {
        const double seconds = static_cast<double>((now - m_at).count()) / 1e6;
        m_tokens = std::min(m_limit.burst, m_tokens + seconds * m_limit.perSecond);
        m_at = now;
    }

    RateLimit m_limit;
    double m_tokens;
    Instant m_at;
};

struct Outcome
{
    int offered = 0;
    int admitted = 0;
    int centrallyAdmitted = 0;
    double lowest = 0;
};

struct FaultRates
{
    int killPerMille = 0;
    int joinPerMille = 0;
    int pausePerMille = 0;
    int storeOutagePerMille = 0;
    int isolatePerMille = 0;
};

// Runs random arrivals under faults, while half of the load moves between VMs.
Outcome run(RateLimit limit, size_t vms, const RateSimulationOptions &options,
            const FaultRates &faultRates, double load, int steps, uint64_t seed)
{
    RateSimulation fleet(limit, vms, options, seed);
    std::mt19937_64 random(seed + 1);
    const auto chance = [&](int perMille) { return static_cast<int>(random() % 1000) < perMille; };
    CentralBucket checked(limit, fleet.now());
    CentralBucket central(limit, fleet.now());
    Outcome outcome;
    bool storeDown = false;
    size_t isolatedVm = vms;
    size_t busy = 0;
    fleet.isPartitioned = [&](size_t from, size_t to) {
        return from == isolatedVm || to == isolatedVm;
    };
    fleet.onRefused = [](Instant) {};
    fleet.onAdmitted = [&](Instant, Instant at) {
        ++outcome.admitted;
        outcome.lowest = std::min(outcome.lowest, checked.take(at));
    };
    double due = 0;
    for (int i = 0; i < steps; ++i) {
        const size_t victim = random() % vms;
        if (chance(faultRates.killPerMille)) {
            fleet.kill(victim);
        } else if (chance(faultRates.joinPerMille)) {
            fleet.join(victim);
        } else if (chance(faultRates.pausePerMille)) {
            fleet.pause(victim, Duration(static_cast<Duration::rep>(random() % 6000000)));
        } else if (chance(faultRates.storeOutagePerMille)) {
            storeDown = !storeDown;
            fleet.setStoreDown(storeDown);
        } else if (chance(faultRates.isolatePerMille)) {
            isolatedVm = isolatedVm == vms ? victim : vms;
        }
        if (chance(5)) {
            busy = random() % vms;
        }
        due += load * limit.perSecond * 0.01;
        while (due >= 1) {
            due -= 1;
            const size_t vm = chance(500) ? busy : random() % vms;
            if (fleet.isUp(vm)) {
                ++outcome.offered;
                outcome.centrallyAdmitted += central.offer(fleet.now()) ? 1 : 0;
                fleet.arrive(vm);
            }
        }
        fleet.advance(Step);
    }
    return outcome;
}

} // namespace

BOOST_AUTO_TEST_CASE(fleetStaysWithinRateAndBurstUnderFaults)
{
    const bool ok = rc::check("all VMs together stay within rate and burst per window", [] {
        RateSimulationOptions options;
        options.lossPerMille = *rc::gen::inRange(0, 150);
        options.duplicatePerMille = *rc::gen::inRange(0, 100);
        options.latePerMille = *rc::gen::inRange(0, 100);
        options.jitter = std::chrono::milliseconds(*rc::gen::inRange(1, 60));
        options.drift = {0, MaxClockDrift / 2, -MaxClockDrift / 2};
        options.expulsion = std::chrono::milliseconds(*rc::gen::inRange(500, 5000));
        const FaultRates faultRates{*rc::gen::inRange(0, 8), *rc::gen::inRange(0, 12),
                                    *rc::gen::inRange(0, 5), *rc::gen::inRange(0, 4),
                                    *rc::gen::inRange(0, 6)};
        const RateLimit limit{static_cast<double>(*rc::gen::inRange(5, 80)),
                              static_cast<double>(*rc::gen::inRange(1, 40))};
        const auto vms = static_cast<size_t>(*rc::gen::inRange(1, 7));
        const auto seed = *rc::gen::arbitrary<uint64_t>();
        for (uint64_t i = 0; i < RunsPerCase; ++i) {
            const Outcome outcome = run(limit, vms, options, faultRates, 3, 2500, seed + 2 * i);
            RC_LOG() << "lowest " << outcome.lowest << ", admitted " << outcome.admitted << '\n';
            RC_ASSERT(outcome.lowest >= -Rounding);
        }
    });
    BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(steadyDemandWithinRateIsAdmitted)
{
    RateSimulationOptions options;
    options.jitter = std::chrono::milliseconds(20);
    const Outcome outcome = run({50, 20}, 7, options, {}, 0.9, 60000, 7);
    BOOST_TEST(outcome.lowest >= -Rounding);
    BOOST_TEST_MESSAGE("offered " << outcome.offered << ", central " << outcome.centrallyAdmitted
                                  << ", admitted " << outcome.admitted);
    const int wrongful = outcome.centrallyAdmitted - outcome.admitted;
    BOOST_TEST(wrongful <= outcome.offered / 1000);
}

} // namespace gentianplank
