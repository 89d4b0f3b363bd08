#include "gentianplank/vm/failure_detector.h"

#include "gentianplank/vm/permissions.h"

#include <boost/test/unit_test.hpp>

namespace gentianplank {

namespace {

const Instant Start{std::chrono::seconds(1000)};
const std::vector<std::string> NoSilentPeers;

VmDirectory listOf(size_t n)
{
    VmDirectory list;
    list.revision = 1;
    for (size_t i = 0; i < n; ++i) {
        VmInfo vm;
        vm.name = "vm-" + std::to_string(i);
        vm.incarnation = 1;
        list.vms.push_back(vm);
    }
    return list;
}

// Every listed VM except vm-0 has replied, and reports the given peers as silent.
FailureDetector detectorAt(Instant now, const VmDirectory &list,
                           const std::vector<std::string> &silentPeers)
{
    FailureDetector detector;
    trackListedVms(detector, list, Start);
    for (const VmInfo &it : list.vms) {
        if (it.name != "vm-0") {
            recordHeartbeatReply(detector, it.name, now, silentPeers);
        }
    }
    return detector;
}

} // namespace

BOOST_AUTO_TEST_CASE(silentVmIsUnreachableWithinOneAndAHalfSeconds)
{
    const FailureDetector detector = detectorAt(Start, listOf(3), NoSilentPeers);
    BOOST_TEST(isReachable(detector, "vm-0", Start + std::chrono::seconds(1)));
    BOOST_TEST(!isReachable(detector, "vm-0", Start + std::chrono::milliseconds(1500)));
}

BOOST_AUTO_TEST_CASE(exactlyOneVmExpelsAVmSilentToAMajority)
{
    const Instant late = Start + ExpelAfter;
    const VmDirectory list = listOf(5);
    const FailureDetector detector = detectorAt(late, list, {"vm-0"});
    size_t expellers = 0;
    for (const VmInfo &it : list.vms) {
        if (it.name != "vm-0") {
            expellers += vmToExpel(detector, list, it.name, late) == "vm-0" ? 1U : 0U;
        }
    }
    BOOST_TEST(expellers == 1U);
}

BOOST_AUTO_TEST_CASE(vmHeardByOthersIsNotExpelled)
{
    const Instant late = Start + ExpelAfter;
    const VmDirectory list = listOf(5);
    const FailureDetector detector = detectorAt(late, list, NoSilentPeers);
    for (const VmInfo &it : list.vms) {
        BOOST_TEST(!vmToExpel(detector, list, it.name, late).has_value());
    }
}

BOOST_AUTO_TEST_CASE(onlyVmWithValidLeaseServesCallers)
{
    for (const VmState it : {VmState::Joining, VmState::LeaseExpired, VmState::Expelled}) {
        const Permissions may = permissionsOf(it);
        BOOST_TEST(!may.serveCallers);
        BOOST_TEST(!may.useRateSlices);
        BOOST_TEST(!may.promote);
    }
    BOOST_TEST(permissionsOf(VmState::LeaseByMajority).serveCallers);
    BOOST_TEST(!permissionsOf(VmState::Leaving).serveCallers);
    BOOST_TEST(permissionsOf(VmState::Leaving).useRateSlices);
    BOOST_TEST(!permissionsOf(VmState::Joining).attest);
}

} // namespace gentianplank
