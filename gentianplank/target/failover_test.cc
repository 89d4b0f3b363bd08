#include "gentianplank/target/testing/failover_simulation.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <random>

namespace gentianplank {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Sanitizers slow a run down more than tenfold; the plain build runs all seeds.
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

FailoverSimulationOptions smallWorld(uint64_t seed)
{
    FailoverSimulationOptions options;
    options.members = {North, NorthTwo, South};
    options.vms = {North, NorthTwo, South};
    options.latency = latencyOf;
    options.step = milliseconds(10);
    options.seed = seed;
    return options;
}

// Breaks something at random: an isolation, a cut, a pause, a death, a lag, a leaving mark.
void breakSomething(FailoverSimulation &world, std::mt19937_64 &random)
{
    const size_t node = random() % world.nodeCount();
    const size_t other = random() % world.nodeCount();
    const size_t member = random() % 3;
    const bool on = random() % 2 == 0;
    switch (random() % 9) {
    case 0:
        world.isolate(node, on);
        break;
    case 1:
        if (node != other) {
            world.cut(node, other, on);
        }
        break;
    case 2:
        world.pause(node, milliseconds(random() % 2000));
        break;
    case 3:
        world.stop(node);
        break;
    case 4:
        world.restart(node);
        break;
    case 5:
        world.setLag(member, milliseconds(random() % 1500));
        break;
    case 6:
        world.setLeaving(member, on);
        break;
    case 7:
        for (size_t i = 0; i < world.nodeCount(); ++i) {
            for (size_t j = 0; j < i; ++j) {
                if (world.placeOf(i).region != world.placeOf(j).region) {
                    world.cut(i, j, on);
                }
            }
        }
        break;
    case 8:
        if (world.primary() < world.nodeCount()) {
            world.isolate(world.primary(), true);
        }
        break;
    }
}

// Runs a group through random failures and returns what went wrong, or an empty string.
std::string runThroughFailures(uint64_t seed)
{
    FailoverSimulationOptions options = smallWorld(seed);
    options.jitter = milliseconds(30);
    options.lossPerMille = 50;
    if (seed % 2 == 0) {
        // All watchers act at once, so that promoters race.
        options.timing.rankDelay = {};
    }
    options.writeInterval = milliseconds(60);
    options.writeDeadline = seconds(3);
    FailoverSimulation world(options);
    std::mt19937_64 random(seed);
    for (int i = 0; i < 20; ++i) {
        world.advance(milliseconds(random() % 500));
        breakSomething(world, random);
    }
    world.healAll();
    for (size_t member = 0; member < 3; ++member) {
        world.setLag(member, {});
    }
    world.advance(seconds(5));
    const size_t acknowledged = world.acknowledged().size();
    world.advance(seconds(1));
    if (world.acknowledged().size() == acknowledged) {
        return "the healed group acknowledges no writes";
    }
    return world.checkWrites();
}

} // namespace

BOOST_AUTO_TEST_CASE(acknowledgedWritesSurviveRandomFailures)
{
    const uint64_t first = 20261204;
    for (uint64_t seed = first; seed < first + RandomRuns; ++seed) {
        const std::string fault = runThroughFailures(seed);
        BOOST_REQUIRE_MESSAGE(fault.empty(), "seed " << seed << ": " << fault);
    }
}

BOOST_AUTO_TEST_CASE(watcherAloneInMissingThePrimaryDoesNotAct)
{
    FailoverSimulation world(smallWorld(1));
    world.advance(seconds(1));
    for (const size_t vm : world.watchers()) {
        world.cut(world.vmNode(vm), world.memberNode(0), true);
        world.advance(seconds(5));
        BOOST_TEST(world.promotions().empty());
        world.healAll();
        world.advance(seconds(1));
    }
}

BOOST_AUTO_TEST_CASE(ownPauseIsNotSilence)
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
