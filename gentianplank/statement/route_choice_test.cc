#include "gentianplank/statement/route_choice.h"

#include <boost/test/unit_test.hpp>

namespace gentianplank {

namespace {

const Instant Now{std::chrono::seconds(1000)};
const Place LocalPlace{"portland", "gulf-maine"};
const Place RemotePlace{"new-haven", "south-coast"};

// A group whose primary is in the remote region, with a replica in each region.
GroupView groupOverTwoRegions(uint64_t replicaHere)
{
    configuration::v1::Target target;
    target.set_group("g");
    for (const char *name : {"a", "b", "c"}) {
        configuration::v1::Member *member = target.add_members();
        member->set_name(name);
        const Place &place = *name == 'b' ? LocalPlace : RemotePlace;
        member->set_zone(place.zone);
        member->set_region(place.region);
    }
    GroupView view = makeGroupView(target);
    for (int i = 0; i < 3; ++i) {
        const Instant at = Now - std::chrono::seconds(3 - i);
        applyReport(view, {"a", Role::Primary, {1, 10}, 1, at});
        applyReport(view, {"c", Role::Replica, {1, 10}, 1, at});
    }
    applyReport(view, {"a", Role::Primary, {1, 10}, 1, Now});
    applyReport(view, {"c", Role::Replica, {1, 10}, 1, Now});
    applyReport(view, {"b", Role::Replica, {1, replicaHere}, 1, Now});
    return view;
}

} // namespace

BOOST_AUTO_TEST_CASE(statementIsRoutedToRegionOfTheMemberThatRunsIt)
{
    StatementRequest read;
    read.statement.set_read_only(true);
    read.requiredPosition = {1, 10};
    BOOST_TEST(dispatchRegion(groupOverTwoRegions(10), read, false, LocalPlace, Now) ==
               LocalPlace.region);
    BOOST_TEST(dispatchRegion(groupOverTwoRegions(9), read, false, LocalPlace, Now) ==
               RemotePlace.region);
    BOOST_TEST(dispatchRegion(groupOverTwoRegions(10), {}, true, LocalPlace, Now) ==
               RemotePlace.region);
}

BOOST_AUTO_TEST_CASE(statementWithoutEligibleMemberPrefersTheLocalRegion)
{
    configuration::v1::Target target;
    target.add_members()->set_region(RemotePlace.region);
    BOOST_TEST(dispatchRegion(makeGroupView(target), {}, true, LocalPlace, Now) ==
               RemotePlace.region);
    target.add_members()->set_region(LocalPlace.region);
    BOOST_TEST(dispatchRegion(makeGroupView(target), {}, true, LocalPlace, Now) ==
               LocalPlace.region);
}

BOOST_AUTO_TEST_CASE(forwardDeadlineReservesTimeForTheAnswer)
{
    const Instant deadline = Now + std::chrono::milliseconds(100);
    BOOST_TEST((forwardDeadline(deadline, Now) == Now + std::chrono::milliseconds(90)));
    BOOST_TEST((forwardDeadline(deadline + std::chrono::seconds(9), Now) ==
                deadline + std::chrono::seconds(9) - std::chrono::milliseconds(20)));
    BOOST_TEST((forwardDeadline(Now, Now + Duration(1)) == Now));
}

} // namespace gentianplank
