#include "gentianplank/base/event_log.h"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <thread>

using namespace gentianplank;

BOOST_AUTO_TEST_CASE(quotesFieldValuesThatNeedIt)
{
    const std::string line = formatEvent(
        "refused", {{"id", "7f"}, {"why", "no \"rate\"\nleft"}, {"n", 3}, {"ok", true}});
    BOOST_TEST(line.substr(line.find(" event=")) ==
               R"( event=refused id=7f why="no \"rate\" left" n=3 ok=true)");
    BOOST_TEST(formatEvent("x", {{"empty", ""}}).ends_with("empty=\"\""));
}

// Guards against logging threads that block on a standard output which nobody reads.
BOOST_AUTO_TEST_CASE(loggingDoesNotBlockOnUnreadOutput)
{
    int pipeEnds[2];
    BOOST_REQUIRE(pipe(pipeEnds) == 0);
    const int output = dup(STDOUT_FILENO);
    dup2(pipeEnds[1], STDOUT_FILENO);
    startEventLog();
    const std::string text(500, 'x');
    const auto startedAt = std::chrono::steady_clock::now();
    for (int event = 0; event < 40; ++event) {
        const std::string name = "event" + std::to_string(event);
        for (uint32_t i = 0; i < MaxEventLinesPerSecond; ++i) {
            logEvent(name, {{"text", text}});
        }
    }
    const auto elapsed = std::chrono::steady_clock::now() - startedAt;
    BOOST_TEST((elapsed < std::chrono::seconds(2)));
    BOOST_TEST(droppedEventLines() > 0U);
    // Draining the pipe lets the writer thread end.
    fcntl(pipeEnds[0], F_SETFL, O_NONBLOCK);
    std::atomic<bool> hasEnded{false};
    std::thread reader([&] {
        char buf[4096];
        while (!hasEnded) {
            if (read(pipeEnds[0], buf, sizeof buf) <= 0) {
                usleep(1000);
            }
        }
    });
    stopEventLog();
    hasEnded = true;
    reader.join();
    dup2(output, STDOUT_FILENO);
}

BOOST_AUTO_TEST_CASE(limitsLinesOfOneEventPerSecond)
{
    startEventLog();
    const uint64_t before = droppedEventLines();
    for (uint32_t i = 0; i < 3 * MaxEventLinesPerSecond; ++i) {
        logEvent("flood", {{"i", i}});
    }
    // The loop may run into the next second once, which renews the budget.
    BOOST_TEST(droppedEventLines() - before >= MaxEventLinesPerSecond);
    stopEventLog();
}
