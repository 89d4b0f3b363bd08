#include "gentianplank/http/tcp_listener.h"

#include <boost/test/unit_test.hpp>

#include <sys/resource.h>

using namespace gentianplank;
using namespace std::chrono_literals;
namespace asio = boost::asio;

BOOST_AUTO_TEST_CASE(startErrorNamesTheAddress)
{
    asio::io_context ioContext;
    TcpListener first(ioContext, [](asio::ip::tcp::socket) {});
    BOOST_REQUIRE(!first.start("127.0.0.1:0"));
    const std::string address = "127.0.0.1:" + std::to_string(first.port());
    TcpListener second(ioContext, [](asio::ip::tcp::socket) {});
    const auto error = second.start(address);
    BOOST_REQUIRE(error);
    BOOST_TEST(error->find(address) != std::string::npos);
    TcpListener third(ioContext, [](asio::ip::tcp::socket) {});
    BOOST_TEST(third.start("nowhere").value_or("").find("nowhere") != std::string::npos);
}

// Guards against a busy loop when file descriptors run out: a failed accept that is retried at once
// keeps the thread from all other work.
BOOST_AUTO_TEST_CASE(acceptIsRetriedAfterDelayWhenDescriptorsRunOut)
{
    asio::io_context ioContext;
    int accepted = 0;
    TcpListener listener(ioContext, [&](asio::ip::tcp::socket) { ++accepted; });
    BOOST_REQUIRE(!listener.start("127.0.0.1:0"));
    asio::ip::tcp::socket caller(ioContext);
    caller.open(asio::ip::tcp::v4());
    rlimit usual{};
    getrlimit(RLIMIT_NOFILE, &usual);
    const rlimit none{static_cast<rlim_t>(caller.native_handle()) + 1, usual.rlim_max};
    setrlimit(RLIMIT_NOFILE, &none);
    caller.connect({asio::ip::make_address("127.0.0.1"), listener.port()});
    const size_t handlers = ioContext.run_for(300ms);
    setrlimit(RLIMIT_NOFILE, &usual);
    BOOST_TEST(accepted == 0);
    BOOST_TEST(handlers < 30U);
    ioContext.restart();
    ioContext.run_for(200ms);
    BOOST_TEST(accepted == 1);
}
