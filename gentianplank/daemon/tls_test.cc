#include "gentianplank/daemon/testing/fleet_fixture.h"
#include "gentianplank/store/testing/test_authority.h"

#include <boost/log/core.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

namespace gentianplank {

namespace {

TlsSettings fleetTls(const TestAuthority &authority)
{
    TlsSettings tls = authority.issue("vm");
    tls.targetsPlainText = true;
    tls.platformPlainText = true;
    return tls;
}

} // namespace

BOOST_AUTO_TEST_CASE(statementsRunOverTlsThroughEveryVm)
{
    const TestAuthority authority;
    FleetOptions options;
    options.tls = fleetTls(authority);
    FleetFixture fleet(options);
    // One of the three VMs dispatches for the group, so at least two requests are forwarded.
    for (size_t i = 0; i < 3; ++i) {
        TestCaller caller = fleet.caller(i);
        const std::string value = std::to_string(i);
        const auto written = caller.execute(putStatement("k", value), "r" + value);
        BOOST_REQUIRE_MESSAGE(written.has_value(), written.error().message);
        caller.switchToVm(fleet.settings((i + 1) % 3).listen.callers);
        const auto read = caller.execute(getStatement("k"), "");
        BOOST_REQUIRE_MESSAGE(read.has_value(), read.error().message);
        BOOST_TEST(read->rows(0).values(1) == value);
    }
    TestCaller plain(fleet.settings(0).listen.callers, TestKey);
    BOOST_TEST(!plain.execute(putStatement("k", "x"), "r", std::chrono::seconds(2)).has_value());
}

// The log covers a served request, a refused key and a shutdown.
BOOST_AUTO_TEST_CASE(logContainsNoSecrets)
{
    std::ostringstream log;
    const auto sink = boost::log::add_console_log(log, boost::log::keywords::auto_flush = true);
    {
        FleetFixture fleet;
        BOOST_TEST(fleet.caller(0).execute(putStatement("k", "v"), "r1").has_value());
        BOOST_TEST(!fleet.caller(0, "refused-key").execute(putStatement("k", "v"), "r2"));
        std::ifstream secret(fleet.settings(0).secrets.sessionSecretFile);
        std::string sessionSecret;
        std::getline(secret, sessionSecret);
        BOOST_TEST(!sessionSecret.empty());
        fleet.stopDaemon(2);
        BOOST_TEST(log.str().find(sessionSecret) == std::string::npos);
    }
    boost::log::core::get()->remove_sink(sink);
    const std::string text = log.str();
    BOOST_TEST(text.find("vm-3 has shut down") != std::string::npos);
    for (const std::string &it : {TestKey, TestOperatorKey, std::string("refused-key")}) {
        BOOST_TEST(text.find(it) == std::string::npos);
    }
}

} // namespace gentianplank
