// Accepts TCP connections at an address.
//
//     TcpListener listener(ioContext, [](asio::ip::tcp::socket socket) { ... });
//     if (auto error = listener.start("10.0.0.1:8080")) { ... }
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gentianplank {

// Goes on accepting until it is destroyed, also after errors. Not thread-safe; the handler runs on
// the thread of `ioContext`.
class TcpListener
{
public:
    using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

    TcpListener(boost::asio::io_context &ioContext, Handler handler);
    ~TcpListener();

    // Listens at IP:PORT. Returns what failed, with the address, if anything did.
    std::optional<std::string> start(const std::string &address);

    // The port in use, also where the address asked for port 0; 0 when it does not listen.
    uint16_t port() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
