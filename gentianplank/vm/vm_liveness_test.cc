#include "gentianplank/vm/vm_liveness.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

const BootInstant Start(1000s);
const std::vector<std::string> Names{"vm-1", "vm-2", "vm-3"};

// Asks every tenth of a second; all answer but those in `silent`. Returns who is gone, and when.
std::map<std::string, Duration> run(VmLiveness &absence, const std::set<std::string> &silent,
                                    Duration from, Duration to, Duration step = 100ms)
{
    std::map<std::string, Duration> gone;
    for (Duration at = from; at < to; at += step) {
        for (const std::string &name : vmsToProbe(absence, Names, Start + at)) {
            if (silent.count(name) == 0) {
                recordVmAlive(absence, name);
            }
        }
        for (const std::string &name : removeUnresponsiveVms(absence, Start + at)) {
            gone.emplace(name, at);
        }
    }
    return gone;
}

} // namespace

// A rate's part lost with a VM that is gone for good: it must become free again.
BOOST_AUTO_TEST_CASE(aVmThatNeverAnswersIsGoneAfterAWhile)
{
    VmLiveness absence;
    const auto gone = run(absence, {"vm-2"}, 0s, 15s);
    BOOST_REQUIRE(gone.size() == 1U);
    BOOST_TEST((gone.at("vm-2") >= AbsenceLimit));
    BOOST_TEST((gone.at("vm-2") < AbsenceLimit + 2s));
}

BOOST_AUTO_TEST_CASE(aVmThatRestartsIsNotGone)
{
    VmLiveness absence;
    BOOST_TEST(run(absence, {"vm-2"}, 0s, 6s).empty());
    BOOST_TEST(run(absence, {}, 6s, 12s).empty());
    BOOST_TEST(run(absence, {"vm-2"}, 12s, 19s).empty());
}

BOOST_AUTO_TEST_CASE(aPauseOfTheAskerAccusesNobody)
{
    VmLiveness absence;
    run(absence, {}, 0s, 2s);
    for (const std::string &name : vmsToProbe(absence, Names, Start + 3s)) {
        BOOST_TEST(!name.empty());
    }
    // The answers came while the asker was suspended for half a minute and are not read yet.
    BOOST_TEST(removeUnresponsiveVms(absence, Start + 33s).empty());
    vmsToProbe(absence, Names, Start + 33s);
    BOOST_TEST(removeUnresponsiveVms(absence, Start + 33s).empty());
}

BOOST_AUTO_TEST_CASE(fewVmsAreAskedAtATime)
{
    VmLiveness absence;
    std::vector<std::string> names;
    for (int i = 1000; i < 8200; ++i) {
        names.push_back("vm-" + std::to_string(i));
    }
    for (Duration at{0}; at < 5s; at += 100ms) {
        const auto asked = vmsToProbe(absence, names, Start + at);
        BOOST_TEST(asked.size() <= 1U);
        for (const std::string &name : asked) {
            recordVmAlive(absence, name);
        }
    }
}
