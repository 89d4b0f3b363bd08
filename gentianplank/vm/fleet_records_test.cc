#include "gentianplank/vm/fleet_records.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;

namespace {

VmRecord vm(const std::string &name, const std::string &zone, const std::string &region)
{
    return {name, "10.0.0.1:7000", {zone, region}, 5, false};
}

} // namespace

BOOST_AUTO_TEST_CASE(recordsRoundTripThroughJson)
{
    VmRecord record = vm("vm-1", "a", "r");
    record.isLeaving = true;
    record.incarnation = 0xffffffffffffffffULL;
    record.linkMbps = 200;
    BOOST_TEST((decodeVmRecord(encodeVmRecord(record)) == record));
    const auto duty = decodeDutyRecord(encodeDutyRecord({"vm-1", 7}));
    BOOST_REQUIRE(duty);
    BOOST_TEST(duty->holder == "vm-1");
    BOOST_TEST(!decodeVmRecord("{}"));
    BOOST_TEST(!decodeDutyRecord("no json"));
}

// During an update of the fleet, records of processes that don't know eras are read, too.
BOOST_AUTO_TEST_CASE(recordsStateTheirEraIfTheirWriterKnowsIt)
{
    VmRecord record = vm("vm-1", "a", "r");
    BOOST_TEST(!decodeVmRecord(encodeVmRecord(record))->era);
    record.era = 0;
    BOOST_TEST(*decodeVmRecord(encodeVmRecord(record))->era == 0U);
    const auto duty = decodeDutyRecord(encodeDutyRecord({"vm-1", 7, 2, 12}));
    BOOST_REQUIRE(duty);
    BOOST_TEST(*duty->era == 2U);
    BOOST_TEST(duty->configurationRevision == 12U);
    const auto earlier = decodeDutyRecord(R"({"holder":"vm-1","incarnation":7})");
    BOOST_REQUIRE(earlier);
    BOOST_TEST(!earlier->era);
    BOOST_TEST(earlier->configurationRevision == 0U);
}

BOOST_AUTO_TEST_CASE(vmsInTheZoneOfTheMemberDispatchFirst)
{
    std::vector<VmRecord> vms{vm("far", "c", "s"), vm("near", "b", "r"), vm("in-1", "a", "r"),
                              vm("in-2", "a", "r")};
    const auto ranked = dispatchersFor("i-1", {"a", "r"}, vms);
    BOOST_REQUIRE(ranked.size() == 4U);
    BOOST_TEST(ranked[0]->place.zone == "a");
    BOOST_TEST(ranked[1]->place.zone == "a");
    BOOST_TEST(ranked[2]->name == "near");
    BOOST_TEST(ranked[3]->name == "far");
    const std::string first = ranked[0]->name;
    for (VmRecord &it : vms) {
        it.isLeaving = it.name == first;
    }
    const auto others = dispatchersFor("i-1", {"a", "r"}, vms);
    BOOST_REQUIRE(others.size() == 3U);
    BOOST_TEST(others[0]->place.zone == "a");
}

BOOST_AUTO_TEST_CASE(addedVmTakesOverOnlyItsShareOfMembers)
{
    std::vector<VmRecord> vms;
    for (int i = 0; i < 9; ++i) {
        vms.push_back(vm("vm-" + std::to_string(i), "a", "r"));
    }
    std::vector<VmRecord> more = vms;
    more.push_back(vm("vm-9", "a", "r"));
    int moved = 0;
    for (int i = 0; i < 1000; ++i) {
        const std::string member = "i-" + std::to_string(i);
        const std::string before = dispatchersFor(member, {"a", "r"}, vms)[0]->name;
        const std::string after = dispatchersFor(member, {"a", "r"}, more)[0]->name;
        BOOST_TEST((before == after || after == "vm-9"));
        moved += before == after ? 0 : 1;
    }
    // Expected is a tenth; the bounds allow for the variance of a thousand hashes.
    BOOST_TEST(moved > 60);
    BOOST_TEST(moved < 145);
}
