// HTTP/1.1 calls to one server over kept connections, by Boost.Beast.
//
//     HttpCaller caller(ioContext, "10.0.0.1:8080");
//     caller.call({.method = "GET", .target = "/x"}, std::chrono::seconds(1), onAnswer);
#pragma once

#include "gentianplank/base/time.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace gentianplank {

struct HttpRequest
{
    std::string method;
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

struct HttpResponse
{
    unsigned status = 0;
    std::string body;
};

// What is known of a call without an answer.
enum class HttpFault {
    // No connection came about: the server never saw the call.
    NotSent,
    // The server may have seen the call, or may see it later.
    Lost,
};

struct HttpError
{
    HttpFault fault = HttpFault::Lost;
    std::string what;
};

using HttpResult = tl::expected<HttpResponse, HttpError>;

// Calls run at the same time use a connection each. A call that fails or times out resets its
// connection, so that bytes held up on the way are dropped. Use on the thread of `ioContext`.
class HttpCaller
{
public:
    // `address` is IP:PORT.
    HttpCaller(boost::asio::io_context &ioContext, const std::string &address);
    ~HttpCaller();

    // Calls `done` once, later, with the response or the error. `timeout` spans the whole call.
    void call(HttpRequest request, Duration timeout, std::function<void(HttpResult)> done);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
