// IP:PORT parsing, and socket options that all connections use.
#pragma once

#include "gentianplank/base/time.h"

#include <boost/asio/ip/tcp.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
#include <optional>
#include <string_view>

namespace gentianplank {

// Parses IP:PORT. Returns nothing if `text` is invalid. Thread-safe.
inline std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(std::string(text.substr(0, colon)), ec);
    uint16_t port = 0;
    const auto digits = text.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec || parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

// Disables Nagle's algorithm, and makes the connection fail when sent bytes stay unacknowledged for
// `ackTimeout`. Errors are ignored here; the next use of the socket reports them.
inline void configureSocket(boost::asio::ip::tcp::socket &socket, Duration ackTimeout)
{
    boost::system::error_code ec;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    const int ms = static_cast<int>(toMilliseconds(ackTimeout));
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

// Closes the socket with a reset: unsent bytes are dropped, and the peer's reads fail.
inline void resetSocket(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ec;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

} // namespace gentianplank
