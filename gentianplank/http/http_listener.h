// Answers plain GET requests over HTTP/1.1: readiness and metrics.
//
//     HttpListener listener(ioContext, "10.0.0.1:8080", [](std::string_view path) {
//         return HttpAnswer{path == "/ok" ? 200u : 404u, ""};
//     });
//     if (auto error = listener.start()) { ... }
#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gentianplank {

struct HttpAnswer
{
    unsigned status = 200;
    std::string body;
    std::string contentType = "text/plain";
};

// Serves at most a fixed number of connections; more are closed at once. The handler runs on the
// thread of `ioContext`.
class HttpListener
{
public:
    using Handler = std::function<HttpAnswer(std::string_view path)>;

    HttpListener(boost::asio::io_context &ioContext, std::string address, Handler handler);
    ~HttpListener();

    // Listens. Returns what failed, if anything did.
    std::optional<std::string> start();

    // The port in use, also where the address asked for port 0.
    uint16_t port() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
