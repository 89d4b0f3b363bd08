// HTTP/1.1 client for one server with persistent connections, built on Boost.Beast.
//
//     HttpClient store(ioContext, "10.0.0.1:8080");
//     store.call({.method = "GET", .target = "/x"}, std::chrono::seconds(1), onAnswer);
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/http/headers.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

namespace gentianplank {

struct HttpRequest
{
    std::string method;
    std::string target;
    std::string body;
    HttpHeaders headers;
};

struct HttpResponse
{
    unsigned status = 0;
    std::string body;
    HttpHeaders headers;
};

// What is known about the effect of a call without an answer.
enum class HttpFault {
    // No connection was established: the server didn't receive the call.
    NotSent,
    // The server may have received the call, or may still receive it.
    Lost,
};

struct HttpError
{
    HttpFault fault = HttpFault::Lost;
    std::string what;
};

using HttpResult = tl::expected<HttpResponse, HttpError>;

// Concurrent calls use one connection each. A call that fails or times out resets its connection,
// so that delayed bytes of the call are dropped. The timeout also counts time for which the process
// was suspended: a call that is overdue when it would be sent ends as NotSent. Not thread-safe; use
// on the thread of `ioContext`.
class HttpClient
{
public:
    // `address` is IP:PORT; if it is invalid, every call fails with NotSent.
    HttpClient(boost::asio::io_context &ioContext, const std::string &address);
    ~HttpClient();

    boost::asio::io_context &ioContext() const;

    // Calls `done` exactly once with the response or the error, never before call() returns.
    // `timeout` covers the whole call, including connecting.
    void call(HttpRequest request, Duration timeout, std::function<void(HttpResult)> done);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
