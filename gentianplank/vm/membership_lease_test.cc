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

MembershipLease joinedCellOf(size_t n)
{
    MembershipLease standing = makeMembershipLease("a", 1);
    applyMembers(standing, listOf(n, 1));
    recordStoreProof(standing, Start, {0, 1});
    return standing;
}

Attestation voucherAt(Instant askedAt, Revisions reported = {0, 1})
{
    return {1, askedAt, reported, true};
}

} // namespace

BOOST_AUTO_TEST_CASE(storeProofLapses)
{
    const MembershipLease standing = joinedCellOf(7);
    BOOST_TEST(isLeaseValid(standing, Start + MembershipLeaseDuration - Duration(1)));
    BOOST_TEST(!isLeaseValid(standing, Start + MembershipLeaseDuration));
}

BOOST_AUTO_TEST_CASE(majorityCarriesThroughAStoreOutage)
{
    MembershipLease standing = joinedCellOf(7);
    const Instant later = Start + std::chrono::seconds(60);
    recordAttestation(standing, "b", voucherAt(later));
    recordAttestation(standing, "c", voucherAt(later));
    BOOST_TEST(!isLeaseValid(standing, later));
    recordAttestation(standing, "d", voucherAt(later));
    BOOST_TEST(isLeaseValid(standing, later));
}

BOOST_AUTO_TEST_CASE(expulsionIsFinal)
{
    MembershipLease standing = joinedCellOf(2);
    VmDirectory without = withoutVm(listOf(2, 2), "a");
    applyMembers(standing, without);
    BOOST_TEST(standing.expelled);
    recordStoreProof(standing, Start + std::chrono::seconds(1), {0, 2});
    BOOST_TEST(!isLeaseValid(standing, Start + std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_CASE(vouchersWithoutJoiningGiveNothing)
{
    MembershipLease standing = makeMembershipLease("z", 1);
    applyMembers(standing, listOf(3, 1));
    recordAttestation(standing, "b", voucherAt(Start));
    recordAttestation(standing, "c", voucherAt(Start));
    BOOST_TEST(!isLeaseValid(standing, Start));
}

BOOST_AUTO_TEST_CASE(proofCountsOnceItsRevisionsAreApplied)
{
    MembershipLease standing = joinedCellOf(3);
    const Instant later = Start + std::chrono::seconds(60);
    recordAttestation(standing, "b", voucherAt(later, {5, 1}));
    BOOST_TEST(!isLeaseValid(standing, later));
    recordStoreProof(standing, later, {6, 1});
    applyConfiguration(standing, 5);
    BOOST_TEST(isLeaseValid(standing, later));
    BOOST_TEST((standing.provenBy == ProofKind::Majority));
}

BOOST_AUTO_TEST_CASE(listWaitsForTheConfigurationStoredBeforeIt)
{
    MembershipLease standing = joinedCellOf(3);
    VmDirectory list = listOf(4, 2);
    list.configurationFloor = 9;
    applyMembers(standing, list);
    BOOST_TEST(appliedRevisions(standing).members == 1U);
    applyConfiguration(standing, 9);
    BOOST_TEST(appliedRevisions(standing).members == 2U);
}

BOOST_AUTO_TEST_CASE(aloneInTheListOnlyTheStoreProves)
{
    const MembershipLease standing = joinedCellOf(1);
    BOOST_TEST(!isLeaseValid(standing, Start + std::chrono::seconds(60)));
}

} // namespace gentianplank
