#include "gentianplank/settings/entry_vm_settings.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace std::chrono_literals;

// Guards against reloaded limits that are logged as changed but take effect only at the next start.
BOOST_AUTO_TEST_CASE(reloadAppliesLimitsAndDefersAddresses)
{
    EntryVmSettings running;
    running.callerAddress = "10.0.0.1:5000";
    EntryVmSettings loaded = running;
    loaded.revocationLimit = 2s;
    loaded.grace = 9s;
    loaded.callerAddress = "10.0.0.1:6000";
    const SettingsReload change = applyReload(running, loaded);
    BOOST_CHECK(change.inForce.revocationLimit == Duration(2s));
    BOOST_CHECK(change.inForce.grace == Duration(9s));
    BOOST_TEST(change.inForce.callerAddress == "10.0.0.1:5000");
    const std::vector<std::string> appliedNow{"revocation limit", "grace"};
    const std::vector<std::string> deferred{"address for callers"};
    BOOST_TEST(change.appliedNow == appliedNow, boost::test_tools::per_element());
    BOOST_TEST(change.deferred == deferred, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(reloadReportsNoUnchangedSettings)
{
    const SettingsReload change = applyReload({}, {});
    BOOST_TEST(change.appliedNow.empty());
    BOOST_TEST(change.deferred.empty());
}

// Guards against an unbounded number of callers when there are fewer file descriptors than the
// reserved ones.
BOOST_AUTO_TEST_CASE(callersAreBoundedWhenDescriptorsAreScarce)
{
    EntryVmSettings settings;
    settings.fileDescriptors = 300;
    BOOST_TEST(maxCallers(settings) == 150U);
    settings.fileDescriptors = 4300;
    BOOST_TEST(maxCallers(settings) == 3600U);
}
