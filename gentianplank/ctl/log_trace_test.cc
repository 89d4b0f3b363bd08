#include "gentianplank/ctl/log_trace.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace gentianplank;

// Ids that only start with the request id, lines without a time and events outside the window are
// left out.
BOOST_AUTO_TEST_CASE(returnsRequestLinesInTimeOrderWithNearbyStateEvents)
{
    std::istringstream entry("time_ms=10000 event=statement id=7f outcome=done\n"
                             "time_ms=10000 event=statement id=7f0 outcome=done\n"
                             "no time event=statement id=7f\n"
                             "time_ms=1000 event=group.record group=g epoch=1\n");
    std::istringstream other("  9.1 vm-2 time_ms=9800 event=dispatch.failed id=7f why=\"a b\"\n"
                             "time_ms=9000 event=group.record group=g epoch=2\n"
                             "time_ms=9100 event=statement id=8a outcome=done\n"
                             "time_ms=12000 event=group.record group=g epoch=3\n");
    const std::vector<TraceLog> logs{{"vm-1", &entry}, {"vm-2", &other}};
    const auto lines = traceRequest("7f", logs);
    BOOST_REQUIRE(lines.size() == 3U);
    BOOST_TEST(lines[0].text.find("epoch=2") != std::string::npos);
    BOOST_TEST(!lines[0].namesRequest);
    BOOST_TEST(lines[1].log == "vm-2");
    BOOST_TEST(lines[1].namesRequest);
    BOOST_TEST(lines[2].timeMs == 10000);
}

BOOST_AUTO_TEST_CASE(returnsNoLinesForUnknownRequest)
{
    std::istringstream in("time_ms=9000 event=group.record group=g epoch=2\n");
    const std::vector<TraceLog> logs{{"vm-1", &in}};
    BOOST_TEST(traceRequest("7f", logs).empty());
}
