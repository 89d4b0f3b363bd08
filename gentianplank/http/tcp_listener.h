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

// Accepts until it is destroyed; after an error, such as too few file descriptors, it retries after
// a short delay. Not thread-safe; the handler runs on the thread of `ioContext`.
class TcpListener
{
public:
    using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

    TcpListener(boost::asio::io_context &ioContext, Handler handler);
    ~TcpListener();

    // Starts listening on `address`, IP:PORT. Returns an error message that names the address on
    // failure.
    std::optional<std::string> start(const std::string &address);

    // Stops accepting: connections wait in the system's queue until resume().
    void pause();
    void resume();

    // Returns the bound port, which the system chooses if the address has port 0; 0 when not
    // listening.
    uint16_t port() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
