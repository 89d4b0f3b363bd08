#include "gentianplank/node/traffic/dispatch_table.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;

namespace {

std::shared_ptr<FleetView> viewOf(int vms)
{
    auto view = std::make_shared<FleetView>();
    FleetMember member;
    member.entry = {"i-1", "g", "10.0.0.1:1", "a", 2, false, true, 1};
    member.place = {"a", "r"};
    view->members["i-1"] = member;
    for (int i = 0; i < vms; ++i) {
        const std::string zone = i % 2 == 0 ? "a" : "b";
        view->vms.push_back({"vm-" + std::to_string(i), "10.0.0.1:2", {zone, "r"}, 1, false});
    }
    return view;
}

} // namespace

BOOST_AUTO_TEST_CASE(ranksOncePerFleetView)
{
    DispatchTable table;
    BOOST_TEST(table.dispatchersOf("i-1").empty());
    table.update(viewOf(4));
    const auto first = table.dispatchersOf("i-1");
    BOOST_REQUIRE(first.size() == 4U);
    BOOST_TEST(first[0]->place.zone == "a");
    BOOST_TEST(table.dispatchersOf("i-1").data() == first.data());
    BOOST_TEST(table.dispatchersOf("i-9").empty());
    table.update(viewOf(1));
    BOOST_TEST(table.dispatchersOf("i-1").size() == 1U);
}

// Each statement used to rank all VMs of the fleet for every member it could be sent to.
BOOST_AUTO_TEST_CASE(limitsListLengthInLargeFleet)
{
    DispatchTable table;
    table.update(viewOf(1000));
    const auto ranked = table.dispatchersOf("i-1");
    BOOST_TEST(ranked.size() == 2 * MaxVmsPerDistance);
    BOOST_TEST(ranked.front()->place.zone == "a");
    BOOST_TEST(ranked.back()->place.zone == "b");
}
