#include "gentianplank/daemon/testing/fleet_fixture.h"

#include <boost/test/unit_test.hpp>

namespace gentianplank {

namespace {

constexpr int RowCount = 350;

void putRows(FleetFixture &fleet)
{
    TestCaller caller = fleet.caller(0);
    for (int i = 0; i < RowCount; ++i) {
        const std::string key = "row-" + std::to_string(i);
        BOOST_REQUIRE(caller.execute(putStatement(key, "v"), key).has_value());
    }
}

void interruptNextAnswers(FleetFixture &fleet, uint32_t count)
{
    for (const char *name : {"a", "b", "c"}) {
        standin::v1::MemberFault fault;
        fault.set_group(TestGroup);
        fault.set_member(name);
        fault.set_break_answers(count);
        fleet.group().setFault(fault);
    }
}

} // namespace

// The pull continues at another member without lost or repeated rows.
BOOST_AUTO_TEST_CASE(interruptedPullResumesAtAnotherMember)
{
    FleetFixture fleet;
    putRows(fleet);
    for (size_t vm = 0; vm < 3; ++vm) {
        interruptNextAnswers(fleet, 1);
        const auto rows = fleet.caller(vm).pull(scanStatement("row-"), [] {});
        BOOST_REQUIRE(rows.has_value());
        BOOST_TEST(rows->size() == static_cast<size_t>(RowCount));
    }
}

// Every member interrupts its answers. The VM must refuse the pull rather than end it as complete,
// which the fixture would report as an incomplete answer.
BOOST_AUTO_TEST_CASE(pullIsRefusedWhenNoMemberCompletesIt)
{
    FleetFixture fleet;
    putRows(fleet);
    interruptNextAnswers(fleet, 1000);
    const auto rows = fleet.caller(0).pull(
        scanStatement("row-"), [] {}, std::chrono::seconds(3));
    BOOST_REQUIRE(!rows.has_value());
    BOOST_TEST((rows.error().outcome == ExecutionOutcome::NotRun));
    BOOST_TEST(rows.error().message != "incomplete answer");
}

} // namespace gentianplank
