#include "gentianplank/vm/vm_liveness.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

const BootInstant Start(1000s);
const std::vector<std::string> Names{"vm-1", "vm-2", "vm-3"};

// Probes every `step`; all VMs answer except those in `silent`. Returns the VMs that were removed,
// and when.
std::map<std::string, Duration> run(VmLiveness &liveness, const std::set<std::string> &silent,
                                    Duration from, Duration to, Duration step = 100ms)
{
    std::map<std::string, Duration> removed;
    for (Duration at = from; at < to; at += step) {
        for (const std::string &name : vmsToProbe(liveness, Names, Start + at)) {
            if (silent.count(name) == 0) {
                recordVmAlive(liveness, name);
            }
        }
        for (const std::string &name : removeUnresponsiveVms(liveness, Start + at)) {
            removed.emplace(name, at);
        }
    }
    return removed;
}

} // namespace

// The rate share of a VM that is permanently gone must become available again, so the VM has to be
// detected.
BOOST_AUTO_TEST_CASE(vmThatNeverAnswersIsRemovedAfterUnresponsiveTimeout)
{
    VmLiveness liveness;
    const auto removed = run(liveness, {"vm-2"}, 0s, 15s);
    BOOST_REQUIRE(removed.size() == 1U);
    BOOST_TEST((removed.at("vm-2") >= UnresponsiveTimeout));
    BOOST_TEST((removed.at("vm-2") < UnresponsiveTimeout + 2s));
}

BOOST_AUTO_TEST_CASE(vmSilentDuringRestartIsNotRemoved)
{
    VmLiveness liveness;
    BOOST_TEST(run(liveness, {"vm-2"}, 0s, 6s).empty());
    BOOST_TEST(run(liveness, {}, 6s, 12s).empty());
    BOOST_TEST(run(liveness, {"vm-2"}, 12s, 19s).empty());
}

BOOST_AUTO_TEST_CASE(suspensionOfProberRemovesNoVm)
{
    VmLiveness liveness;
    run(liveness, {}, 0s, 2s);
    for (const std::string &name : vmsToProbe(liveness, Names, Start + 3s)) {
        BOOST_TEST(!name.empty());
    }
    // The answers arrived while the prober was suspended for half a minute, and it has not read
    // them yet.
    BOOST_TEST(removeUnresponsiveVms(liveness, Start + 33s).empty());
    vmsToProbe(liveness, Names, Start + 33s);
    BOOST_TEST(removeUnresponsiveVms(liveness, Start + 33s).empty());
}

BOOST_AUTO_TEST_CASE(atMostOneVmIsProbedPerCallWhenAllAnswer)
{
    VmLiveness liveness;
    std::vector<std::string> names;
    for (int i = 1000; i < 8200; ++i) {
        names.push_back("vm-" + std::to_string(i));
    }
    for (Duration at{0}; at < 5s; at += 100ms) {
        const auto probed = vmsToProbe(liveness, names, Start + at);
        BOOST_TEST(probed.size() <= 1U);
        for (const std::string &name : probed) {
            recordVmAlive(liveness, name);
        }
    }
}
