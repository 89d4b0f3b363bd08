#include "gentianplank/target/testing/failover_simulation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <random>

namespace gentianplank {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Sanitizers slow down a run more than tenfold; only the plain build runs all seeds.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int RandomRuns = 150;
#else
constexpr int RandomRuns = 2000;
#endif

const Place North{"north-1", "north"};
const Place NorthTwo{"north-2", "north"};
const Place South{"south-1", "south"};

Duration latencyOf(const Place &a, const Place &b)
{
    return a.region == b.region ? milliseconds(1) : milliseconds(20);
}

FailoverSimulationOptions threeMemberOptions(uint64_t seed)
{
    FailoverSimulationOptions options;
    options.members = {North, NorthTwo, South};
    options.vms = {North, NorthTwo, South};
    options.latency = latencyOf;
    options.step = milliseconds(10);
    options.seed = seed;
    return options;
}

// Injects a random fault: an isolation, a cut, a pause, a stop, a lag or a leaving mark. May also
// end one.
void injectRandomFault(FailoverSimulation &simulation, std::mt19937_64 &random)
{
    const size_t node = random() % simulation.nodeCount();
    const size_t other = random() % simulation.nodeCount();
    const size_t member = random() % 3;
    const bool on = random() % 2 == 0;
    switch (random() % 9) {
    case 0:
        simulation.isolate(node, on);
        break;
    case 1:
        if (node != other) {
            simulation.cut(node, other, on);
        }
        break;
    case 2:
        simulation.pause(node, milliseconds(random() % 2000));
        break;
    case 3:
        simulation.stop(node);
        break;
    case 4:
        simulation.restart(node);
        break;
    case 5:
        simulation.setLag(member, milliseconds(random() % 1500));
        break;
    case 6:
        simulation.setLeaving(member, on);
        break;
    case 7:
        for (size_t i = 0; i < simulation.nodeCount(); ++i) {
            for (size_t j = 0; j < i; ++j) {
                if (simulation.placeOf(i).region != simulation.placeOf(j).region) {
                    simulation.cut(i, j, on);
                }
            }
        }
        break;
    case 8:
        if (simulation.primary() < simulation.nodeCount()) {
            simulation.isolate(simulation.primary(), true);
        }
        break;
    }
}

// Runs a group with random faults. Returns the first violated invariant, or an empty string.
std::string runWithRandomFaults(uint64_t seed)
{
    FailoverSimulationOptions options = threeMemberOptions(seed);
    options.jitter = milliseconds(30);
    options.lossPerMille = 50;
    if (seed % 2 == 0) {
        // All watchers act at the same time, so that promoters compete for terms.
        options.timing.rankDelay = {};
    }
    options.writeInterval = milliseconds(60);
    options.writeDeadline = seconds(3);
    FailoverSimulation simulation(options);
    std::mt19937_64 random(seed);
    for (int i = 0; i < 20; ++i) {
        simulation.advance(milliseconds(random() % 500));
        injectRandomFault(simulation, random);
    }
    simulation.healAll();
    for (size_t member = 0; member < 3; ++member) {
        simulation.setLag(member, {});
    }
    simulation.advance(seconds(5));
    const size_t acknowledged = simulation.acknowledged().size();
    simulation.advance(seconds(1));
    if (simulation.acknowledged().size() == acknowledged) {
        return "the group acknowledges no writes after all faults have ended";
    }
    return simulation.checkWrites();
}

} // namespace

// Guards against lost, doubled and wrongly refused writes and against two primaries in one term,
// which a promotion may cause when it competes with another one or with a primary that is cut off.
BOOST_AUTO_TEST_CASE(acknowledgedWritesSurviveRandomFaults)
{
    const uint64_t first = 20261204;
    for (uint64_t seed = first; seed < first + RandomRuns; ++seed) {
        const std::string fault = runWithRandomFaults(seed);
        BOOST_REQUIRE_MESSAGE(fault.empty(), "seed " << seed << ": " << fault);
    }
}

// Guards against a needless switch when only the path between one watcher and the primary is cut.
BOOST_AUTO_TEST_CASE(singleSuspectingWatcherDoesNotPromote)
{
    FailoverSimulation simulation(threeMemberOptions(1));
    simulation.advance(seconds(1));
    for (const size_t vm : simulation.watchers()) {
        simulation.cut(simulation.vmNode(vm), simulation.memberNode(0), true);
        simulation.advance(seconds(5));
        BOOST_TEST(simulation.promotions().empty());
        simulation.healAll();
        simulation.advance(seconds(1));
    }
}

// Guards against suspecting a healthy primary after this VM was paused and has not yet processed
// the reports that arrived meanwhile.
BOOST_AUTO_TEST_CASE(localPauseIsNotCountedAsPrimarySilence)
{
    configuration::v1::Target target;
    for (const char *name : {"a", "b", "c"}) {
        target.add_members()->set_name(name);
    }
    GroupView view = makeGroupView(target);
    const Instant start{seconds(1000)};
    applyReport(view, {"a", Role::Primary, {1, 1}, 1, start, {}, {}});
    applyReport(view, {"b", Role::Replica, {1, 1}, 1, start, {}, {}});
    applyReport(view, {"c", Role::Replica, {1, 1}, 1, start, {}, {}});
    GroupFailover failover = makeGroupFailover("vm-1", "vm-1/1");
    const std::vector<FailoverWatcher> watchers{{"vm-1", North}, {"vm-2", South}};
    BOOST_TEST(nextActions(failover, view, watchers, start).empty());
    const Instant later = start + seconds(3);
    BOOST_TEST(nextActions(failover, view, watchers, later).empty());
    const Instant silent = later + failover.timing.suspicionTimeout;
    for (Instant now = later; now < silent; now += milliseconds(10)) {
        nextActions(failover, view, watchers, now);
    }
    BOOST_TEST(nextActions(failover, view, watchers, silent).size() == 1U);
}

} // namespace gentianplank
