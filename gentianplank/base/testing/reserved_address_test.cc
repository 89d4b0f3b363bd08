#include "gentianplank/base/testing/reserved_address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <set>

using namespace gentianplank;
namespace asio = boost::asio;
using asio::ip::tcp;

// Pattern: ports that were free a moment before, chosen one after another and released, were the
// same once in 6,900 pairs. Two servers of one fleet then shared a port, and each took some of the
// other's calls: a fleet's first configuration was refused.
BOOST_AUTO_TEST_CASE(noPortIsGivenTwice)
{
    constexpr size_t count = 700;
    std::set<uint16_t> ports;
    for (size_t i = 0; i < count; ++i) {
        ports.insert(reservePort());
    }
    BOOST_TEST(ports.size() == count);
}

BOOST_AUTO_TEST_CASE(aServerListensAtAHeldPort)
{
    asio::io_context ioContext;
    const tcp::endpoint address(asio::ip::make_address("127.0.0.1"), reservePort());
    tcp::socket early(ioContext);
    boost::system::error_code ec;
    early.connect(address, ec);
    BOOST_TEST((ec == asio::error::connection_refused));
    // Started, stopped and started anew.
    for (int i = 0; i < 2; ++i) {
        tcp::acceptor acceptor(ioContext, address);
        tcp::socket caller(ioContext);
        caller.connect(address, ec);
        BOOST_TEST(!ec);
        acceptor.accept(ec);
        BOOST_TEST(!ec);
    }
}
