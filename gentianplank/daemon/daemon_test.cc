#include "gentianplank/base/testing/reserved_address.h"
#include "gentianplank/daemon/testing/fleet_fixture.h"

#include <boost/test/unit_test.hpp>

#include <thread>

namespace gentianplank {

BOOST_AUTO_TEST_CASE(sessionReadsItsOwnWriteThroughAnotherVm)
{
    FleetOptions options;
    options.group.lag = std::chrono::milliseconds(50);
    FleetFixture fleet(options);
    TestCaller caller = fleet.caller(0);
    for (int i = 0; i < 5; ++i) {
        caller.switchToVm(fleet.settings(static_cast<size_t>(i) % 3).listen.callers);
        const std::string value = std::to_string(i);
        const auto written = caller.execute(putStatement("k", value), "r" + value);
        BOOST_REQUIRE_MESSAGE(written.has_value(), written.error().message);
        caller.switchToVm(fleet.settings(static_cast<size_t>(i + 1) % 3).listen.callers);
        const auto read = caller.execute(getStatement("k"), "");
        BOOST_REQUIRE_MESSAGE(read.has_value(), read.error().message);
        BOOST_TEST(read->rows(0).values(1) == value);
    }
}

BOOST_AUTO_TEST_CASE(writeWithSameRequestIdRunsOnceAcrossVms)
{
    FleetFixture fleet;
    for (size_t i = 0; i < 3; ++i) {
        const auto reply = fleet.caller(i).execute(addStatement("advance", 100), "request-1");
        BOOST_REQUIRE_MESSAGE(reply.has_value(), reply.error().message);
        BOOST_TEST(reply->rows(0).values(1) == "100");
        BOOST_TEST(reply->replayed() == (i > 0));
    }
}

BOOST_AUTO_TEST_CASE(callerKeyIsNotSentToTargets)
{
    FleetFixture fleet;
    BOOST_REQUIRE(fleet.caller(0).execute(putStatement("k", "v"), "r1").has_value());
    const std::vector<std::string> received = fleet.group().received();
    BOOST_TEST(!received.empty());
    for (const std::string &it : received) {
        BOOST_TEST(it.find(TestKey) == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(unknownKeyIsRefusedAndNotRun)
{
    FleetFixture fleet;
    const auto reply = fleet.caller(0, "some-other-key").execute(putStatement("k", "v"), "r1");
    BOOST_REQUIRE(!reply.has_value());
    BOOST_TEST((reply.error().reason == Reason::KeyRefused));
    BOOST_TEST((reply.error().outcome == ExecutionOutcome::NotRun));
    BOOST_TEST(reply.error().vm == "vm-1");
}

// With SO_REUSEPORT, two processes started on one address and each received some of the other's
// calls.
BOOST_AUTO_TEST_CASE(startFailsWhenCallerAddressIsInUse)
{
    FleetFixture fleet;
    Settings settings = fleet.settings(0);
    settings.vm.name = "vm-4";
    settings.listen.peers = reserveAddress();
    const auto second = startDaemon(settings);
    BOOST_REQUIRE(!second.has_value());
    BOOST_TEST(second.error().find(settings.listen.callers) != std::string::npos);
}

// The shutdown starts during the pull, which must still deliver all rows.
BOOST_AUTO_TEST_CASE(gracefulShutdownLetsRunningPullFinish)
{
    FleetFixture fleet;
    for (int i = 0; i < 150; ++i) {
        const std::string key = "row-" + std::to_string(i);
        BOOST_REQUIRE(fleet.caller(0).execute(putStatement(key, "v"), key).has_value());
    }
    bool stopped = false;
    std::thread stopper;
    const auto rows = fleet.caller(0).pull(scanStatement("row-"), [&] {
        if (!stopped) {
            stopped = true;
            stopper = std::thread([&] { fleet.stopDaemon(0); });
        }
    });
    stopper.join();
    BOOST_REQUIRE_MESSAGE(rows.has_value(), rows.error().message);
    BOOST_TEST(rows->size() == 150U);
}

} // namespace gentianplank
