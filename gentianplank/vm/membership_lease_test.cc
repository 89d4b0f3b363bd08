#include "gentianplank/vm/membership_lease.h"

#include <boost/test/unit_test.hpp>

namespace gentianplank {

namespace {

const Instant Start{std::chrono::seconds(1000)};

VmDirectory listOf(size_t n, uint64_t revision)
{
    VmDirectory list;
    list.revision = revision;
    for (size_t i = 0; i < n; ++i) {
        VmInfo vm;
        vm.name = std::string(1, static_cast<char>('a' + i));
        vm.incarnation = 1;
        list.vms.push_back(vm);
    }
    return list;
}

MembershipLease joinedLeaseOf(size_t n)
{
    MembershipLease lease = makeMembershipLease("a", 1);
    applyMembers(lease, listOf(n, 1));
    recordStoreProof(lease, Start, {0, 1});
    return lease;
}

Attestation attestationAt(Instant requestSentAt, Revisions reported = {0, 1})
{
    return {1, requestSentAt, reported, true};
}

} // namespace

BOOST_AUTO_TEST_CASE(leaseExpiresAfterLastStoreProof)
{
    const MembershipLease lease = joinedLeaseOf(7);
    BOOST_TEST(isLeaseValid(lease, Start + MembershipLeaseDuration - Duration(1)));
    BOOST_TEST(!isLeaseValid(lease, Start + MembershipLeaseDuration));
}

BOOST_AUTO_TEST_CASE(majorityOfAttestationsExtendsLeaseDuringStoreOutage)
{
    MembershipLease lease = joinedLeaseOf(7);
    const Instant later = Start + std::chrono::seconds(60);
    recordAttestation(lease, "b", attestationAt(later));
    recordAttestation(lease, "c", attestationAt(later));
    BOOST_TEST(!isLeaseValid(lease, later));
    recordAttestation(lease, "d", attestationAt(later));
    BOOST_TEST(isLeaseValid(lease, later));
}

BOOST_AUTO_TEST_CASE(expelledVmGetsNoLeaseFromLaterStoreProof)
{
    MembershipLease lease = joinedLeaseOf(2);
    VmDirectory without = withoutVm(listOf(2, 2), "a");
    applyMembers(lease, without);
    BOOST_TEST(lease.expelled);
    recordStoreProof(lease, Start + std::chrono::seconds(1), {0, 2});
    BOOST_TEST(!isLeaseValid(lease, Start + std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_CASE(attestationsGiveNoLeaseBeforeJoining)
{
    MembershipLease lease = makeMembershipLease("z", 1);
    applyMembers(lease, listOf(3, 1));
    recordAttestation(lease, "b", attestationAt(Start));
    recordAttestation(lease, "c", attestationAt(Start));
    BOOST_TEST(!isLeaseValid(lease, Start));
}

BOOST_AUTO_TEST_CASE(proofCountsOnlyAfterItsRevisionsAreApplied)
{
    MembershipLease lease = joinedLeaseOf(3);
    const Instant later = Start + std::chrono::seconds(60);
    recordAttestation(lease, "b", attestationAt(later, {5, 1}));
    BOOST_TEST(!isLeaseValid(lease, later));
    recordStoreProof(lease, later, {6, 1});
    applyConfiguration(lease, 5);
    BOOST_TEST(isLeaseValid(lease, later));
    BOOST_TEST((lease.provenBy == ProofKind::Majority));
}

BOOST_AUTO_TEST_CASE(listIsAppliedOnlyAfterItsConfigurationFloor)
{
    MembershipLease lease = joinedLeaseOf(3);
    VmDirectory list = listOf(4, 2);
    list.configurationFloor = 9;
    applyMembers(lease, list);
    BOOST_TEST(appliedRevisions(lease).members == 1U);
    applyConfiguration(lease, 9);
    BOOST_TEST(appliedRevisions(lease).members == 2U);
}

BOOST_AUTO_TEST_CASE(vmAloneInTheListNeedsStoreProof)
{
    const MembershipLease lease = joinedLeaseOf(1);
    BOOST_TEST(!isLeaseValid(lease, Start + std::chrono::seconds(60)));
}

} // namespace gentianplank
