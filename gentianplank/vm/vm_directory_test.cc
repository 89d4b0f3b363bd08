#include "gentianplank/vm/vm_directory.h"

#include <boost/test/unit_test.hpp>

#include <set>

namespace gentianplank {

namespace {

VmDirectory sevenVms()
{
    VmDirectory directory;
    const char *const zones[] = {"portland",   "portland",  "portland", "gloucester",
                                 "gloucester", "new-haven", "new-haven"};
    for (int i = 0; i < 7; ++i) {
        VmInfo vm;
        vm.name = "vm-" + std::to_string(i);
        vm.place = {zones[i], i < 5 ? "gulf-maine" : "south-coast"};
        directory.vms.push_back(vm);
    }
    return directory;
}

} // namespace

BOOST_AUTO_TEST_CASE(dispatcherIsInTheRegionWhileItHasEligibleVms)
{
    VmDirectory directory = sevenVms();
    const std::string first = dispatcherOf(directory, "g", "south-coast");
    BOOST_TEST(findVm(directory, first)->place.region == "south-coast");
    directory.vms[5].reachable = false;
    directory.vms[6].leaving = true;
    const std::string other = dispatcherOf(directory, "g", "south-coast");
    BOOST_TEST(findVm(directory, other)->place.region == "gulf-maine");
}

BOOST_AUTO_TEST_CASE(watchersAreInDifferentZones)
{
    const VmDirectory directory = sevenVms();
    for (int i = 0; i < 50; ++i) {
        std::set<std::string> zones;
        for (const std::string &it : watchersOf(directory, "g" + std::to_string(i), 3)) {
            zones.insert(findVm(directory, it)->place.zone);
        }
        BOOST_TEST(zones.size() == 3U);
    }
}

BOOST_AUTO_TEST_CASE(emptyDirectoryHasNoDispatcherOrWatchers)
{
    BOOST_TEST(dispatcherOf({}, "g", "r").empty());
    BOOST_TEST(watchersOf({}, "g", 3).empty());
}

} // namespace gentianplank
