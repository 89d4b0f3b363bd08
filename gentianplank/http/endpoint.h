// IP:PORT texts and socket options shared by all connections.
#pragma once

#include "gentianplank/base/time.h"

#include <boost/asio/ip/tcp.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <charconv>
#include <optional>
#include <string_view>

namespace gentianplank {

// Reads IP:PORT; nothing when the text is not that. Thread-safe.
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

// Sends small messages at once, and gives a connection up when sent bytes stay unacknowledged for
// `silence`. Errors are left to the next use of the socket, which reports them.
inline void prepareSocket(boost::asio::ip::tcp::socket &socket, Duration silence)
{
    boost::system::error_code ec;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    const int ms = static_cast<int>(toMilliseconds(silence));
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

// Closes so that bytes still under way are dropped and the far end sees a reset.
inline void resetSocket(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ec;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

} // namespace gentianplank
