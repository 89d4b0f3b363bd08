#include "gentianplank/base/testing/reserved_address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <set>

using namespace gentianplank;
namespace asio = boost::asio;
using asio::ip::tcp;

// Guards against two servers that share a port. Free ports that were selected one after another and
// released again were the same once in 6,900 pairs; each of two servers of a fleet then received
// some of the other's calls, and the fleet's first configuration was refused.
BOOST_AUTO_TEST_CASE(reservesDistinctPorts)
{
    constexpr size_t count = 700;
    std::set<uint16_t> ports;
    for (size_t i = 0; i < count; ++i) {
        ports.insert(reservePort());
    }
    BOOST_TEST(ports.size() == count);
}

BOOST_AUTO_TEST_CASE(serverListensOnReservedPort)
{
    asio::io_context ioContext;
    const tcp::endpoint address(asio::ip::make_address("127.0.0.1"), reservePort());
    tcp::socket earlyClient(ioContext);
    boost::system::error_code ec;
    earlyClient.connect(address, ec);
    BOOST_TEST((ec == asio::error::connection_refused));
    // The server is started, stopped and started again.
    for (int i = 0; i < 2; ++i) {
        tcp::acceptor acceptor(ioContext, address);
        tcp::socket client(ioContext);
        client.connect(address, ec);
        BOOST_TEST(!ec);
        acceptor.accept(ec);
        BOOST_TEST(!ec);
    }
}
