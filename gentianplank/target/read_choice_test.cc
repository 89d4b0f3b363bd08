#include "gentianplank/target/read_choice.h"

#include <boost/test/unit_test.hpp>

namespace gentianplank {

namespace {

const Instant Start{std::chrono::seconds(1000)};
const Place Portland{"portland", "gulf-maine"};

GroupView ledger()
{
    configuration::v1::Target target;
    target.set_group("g");
    const char *const members[][3] = {{"a", "portland", "gulf-maine"},
                                      {"b", "gloucester", "gulf-maine"},
                                      {"c", "new-haven", "south-coast"}};
    for (const auto &it : members) {
        configuration::v1::Member *member = target.add_members();
        member->set_name(it[0]);
        member->set_zone(it[1]);
        member->set_region(it[2]);
    }
    GroupView view = makeGroupView(target);
    const Instant earlier = Start - std::chrono::milliseconds(500);
    applyReport(view, {"a", Role::Primary, {1, 9}, 1, earlier});
    applyReport(view, {"b", Role::Replica, {1, 9}, 1, earlier});
    applyReport(view, {"a", Role::Primary, {1, 10}, 1, Start});
    applyReport(view, {"b", Role::Replica, {1, 9}, 1, Start});
    applyReport(view, {"c", Role::Replica, {1, 10}, 1, Start});
    return view;
}

} // namespace

BOOST_AUTO_TEST_CASE(sameRegionReplicaIsPreferred)
{
    BOOST_TEST(chooseReader(ledger(), {}, Portland, Start)->name == "b");
}

BOOST_AUTO_TEST_CASE(laggingReplicaIsNotChosenAfterSessionWrite)
{
    const GroupView view = ledger();
    const ReadRequirements need{{1, 10}, false, {}, {}};
    BOOST_TEST(chooseReader(view, need, Portland, Start)->name == "a");
    BOOST_TEST(chooseReader(view, need, {"new-haven", "south-coast"}, Start)->name == "c");
}

BOOST_AUTO_TEST_CASE(lostSessionTokenIsServedByPrimary)
{
    const ReadRequirements need{{}, true, {}, {}};
    BOOST_TEST(chooseReader(ledger(), need, Portland, Start)->name == "a");
}

BOOST_AUTO_TEST_CASE(leavingMemberIsNotChosen)
{
    GroupView view = ledger();
    view.members[1].leaving = true;
    BOOST_TEST(chooseReader(view, {}, Portland, Start)->name == "a");
}

BOOST_AUTO_TEST_CASE(replicaBeyondAcceptedAgeIsNotChosen)
{
    GroupView view = ledger();
    const Instant later = Start + std::chrono::milliseconds(500);
    applyReport(view, {"a", Role::Primary, {1, 90}, 1, later});
    applyReport(view, {"c", Role::Replica, {1, 90}, 1, later});
    applyReport(view, {"b", Role::Replica, {1, 10}, 1, later});
    const Instant now = later + std::chrono::milliseconds(400);
    const ReadRequirements fresh{{}, false, std::chrono::milliseconds(200), {}};
    const ReadRequirements old{{}, false, std::chrono::milliseconds(900), {}};
    // Before the second round of reports the group's position was 10, which is all that b has.
    BOOST_TEST(chooseReader(view, fresh, Portland, now)->name == "a");
    BOOST_TEST(chooseReader(view, old, Portland, now)->name == "b");
}

} // namespace gentianplank
