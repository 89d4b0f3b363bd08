#include "gentianplank/target/group_view.h"

#include <boost/test/unit_test.hpp>

namespace gentianplank {

namespace {

const Instant Start{std::chrono::seconds(1000)};

GroupView threeMembers()
{
    configuration::v1::Target target;
    target.set_group("g");
    for (const char *name : {"a", "b", "c"}) {
        target.add_members()->set_name(name);
    }
    return makeGroupView(target);
}

MemberReport report(const std::string &member, Role role, LogPosition position,
                    uint64_t fencedTerm = 0, Instant at = Start)
{
    return {member, role, position, fencedTerm, at};
}

} // namespace

BOOST_AUTO_TEST_CASE(writeIsConfirmedByMajorityInItsTerm)
{
    GroupView view = threeMembers();
    applyReport(view, report("a", Role::Primary, {1, 10}));
    applyReport(view, report("b", Role::Replica, {1, 9}));
    BOOST_TEST(!isConfirmed(view, {1, 10}));
    applyReport(view, report("c", Role::Replica, {1, 10}));
    BOOST_TEST(isConfirmed(view, {1, 10}));
    BOOST_TEST((confirmedPosition(view) == LogPosition{1, 10}));
}

BOOST_AUTO_TEST_CASE(laterTermDoesNotConfirmEarlierTerm)
{
    GroupView view = threeMembers();
    applyReport(view, report("a", Role::Primary, {1, 12}));
    applyReport(view, report("b", Role::Primary, {2, 30}));
    applyReport(view, report("c", Role::Replica, {2, 30}));
    BOOST_TEST(!isConfirmed(view, {1, 12}));
    BOOST_TEST(primaryOf(view)->name == "b");
}

BOOST_AUTO_TEST_CASE(announcedLaterTermInvalidatesPrimary)
{
    GroupView view = threeMembers();
    applyReport(view, report("a", Role::Primary, {1, 10}));
    BOOST_TEST(primaryOf(view)->name == "a");
    applyReport(view, report("b", Role::Replica, {1, 10}, 2));
    BOOST_TEST(primaryOf(view) == nullptr);
}

BOOST_AUTO_TEST_CASE(olderReportIsIgnored)
{
    GroupView view = threeMembers();
    applyReport(view, report("a", Role::Primary, {2, 10}, 2, Start + Duration(10)));
    applyReport(view, report("a", Role::Primary, {1, 50}, 1, Start));
    BOOST_TEST((findMember(view, "a")->position == LogPosition{2, 10}));
}

BOOST_AUTO_TEST_CASE(freshnessSampleNeedsMajorityReportsAfterPrimaryReport)
{
    GroupView view = threeMembers();
    const Duration age = std::chrono::milliseconds(200);
    applyReport(view, report("b", Role::Replica, {1, 9}, 1, Start));
    applyReport(view, report("a", Role::Primary, {1, 10}, 1, Start + Duration(10)));
    // The replica reported before the primary: a later term may have been announced to it since.
    BOOST_TEST(!positionForAge(view, age, Start + Duration(20)).has_value());
    applyReport(view, report("c", Role::Replica, {1, 8}, 1, Start + Duration(20)));
    const auto needed = positionForAge(view, age, Start + Duration(30));
    BOOST_REQUIRE(needed.has_value());
    BOOST_TEST((*needed == LogPosition{1, 10}));
}

BOOST_AUTO_TEST_CASE(noFreshPositionWithoutPrimaryReports)
{
    GroupView view = threeMembers();
    applyReport(view, report("a", Role::Primary, {1, 10}, 1, Start));
    applyReport(view, report("b", Role::Replica, {1, 10}, 1, Start + Duration(10)));
    const Instant later = Start + std::chrono::seconds(1);
    applyReport(view, report("b", Role::Replica, {1, 10}, 1, later));
    applyReport(view, report("c", Role::Replica, {1, 10}, 1, later));
    BOOST_TEST(!positionForAge(view, std::chrono::milliseconds(500), later).has_value());
    BOOST_TEST(positionForAge(view, std::chrono::milliseconds(1500), later).has_value());
}

BOOST_AUTO_TEST_CASE(delayedReportIsDatedByMemberClock)
{
    GroupView view = threeMembers();
    MemberReport first = report("a", Role::Primary, {1, 10}, 1, Start);
    first.sentAt = std::chrono::seconds(5);
    applyReport(view, first);
    // Sent 100 ms after the first report, received 2 s after it.
    MemberReport delayed = report("a", Role::Primary, {1, 10}, 1, Start + std::chrono::seconds(2));
    delayed.sentAt = *first.sentAt + std::chrono::milliseconds(100);
    applyReport(view, delayed);
    const Instant sent = findMember(view, "a")->reportedAt;
    BOOST_TEST((sent - Start < std::chrono::milliseconds(101)));
    BOOST_TEST((sent - Start >= std::chrono::milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(confirmingWritesNeedsRecentReplicaReport)
{
    GroupView view = threeMembers();
    applyReport(view, report("a", Role::Primary, {1, 10}));
    BOOST_TEST(!canConfirm(view, Start));
    applyReport(view, report("b", Role::Replica, {1, 8}));
    BOOST_TEST(canConfirm(view, Start));
    BOOST_TEST(!canConfirm(view, Start + std::chrono::seconds(5)));
    markDisconnected(view, "b");
    BOOST_TEST(!canConfirm(view, Start));
}

} // namespace gentianplank
