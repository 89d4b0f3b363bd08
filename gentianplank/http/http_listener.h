// HTTP/1.1 server for readiness probes, metrics and the platform stand-ins.
//
//     HttpListener listener(ioContext, "10.0.0.1:8080", [](const HttpCall &call) {
//         return HttpAnswer{call.target == "/ok" ? 200u : 404u, ""};
//     });
//     if (auto error = listener.start()) { ... }
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/http/headers.h"
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
    // Path and query as received, not decoded.
    std::string target;
    std::string body;
    HttpHeaders headers;
};

struct HttpAnswer
{
    unsigned status = 200;
    std::string body;
    std::string contentType = "text/plain";
    // Time to wait before the answer is sent.
    Duration delay{0};
    HttpHeaders headers = {};
};

// Accepts a limited number of connections; any beyond the limit are closed at once. Not
// thread-safe; the handler runs on the thread of `ioContext`.
class HttpListener
{
public:
    using Handler = std::function<HttpAnswer(const HttpCall &)>;

    HttpListener(boost::asio::io_context &ioContext, std::string address, Handler handler);
    ~HttpListener();

    // Starts listening. Returns an error message on failure.
    std::optional<std::string> start();

    // Returns the bound port, which the system chooses if the address has port 0; 0 when not
    // listening.
    uint16_t port() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
    std::string m_address;
    TcpListener m_listener;
};

} // namespace gentianplank
