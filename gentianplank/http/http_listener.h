// Answers requests over HTTP/1.1: readiness, metrics, and what stand-ins serve.
//
//     HttpListener listener(ioContext, "10.0.0.1:8080", [](const HttpCall &call) {
//         return HttpAnswer{call.target == "/ok" ? 200u : 404u, ""};
//     });
//     if (auto error = listener.start()) { ... }
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/http/tcp_listener.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gentianplank {

struct HttpCall
{
    std::string method;
    // Path and query, as sent.
    std::string target;
    std::string body;
};

struct HttpAnswer
{
    unsigned status = 200;
    std::string body;
    std::string contentType = "text/plain";
    // How long the answer waits before it is sent.
    Duration delay{0};
};

// Serves at most a fixed number of connections; more are closed at once. The handler runs on the
// thread of `ioContext`.
class HttpListener
{
public:
    using Handler = std::function<HttpAnswer(const HttpCall &)>;

    HttpListener(boost::asio::io_context &ioContext, std::string address, Handler handler);
    ~HttpListener();

    // Listens. Returns what failed, if anything did.
    std::optional<std::string> start();

    // The port in use, also where the address asked for port 0.
    uint16_t port() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
    std::string m_address;
    TcpListener m_listener;
};

} // namespace gentianplank
