#include "gentianplank/http/http_client.h"

#include "gentianplank/base/boot_clock.h"
#include "gentianplank/http/endpoint.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace gentianplank {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Servers may close idle connections; one that has been idle for less than this is assumed open.
constexpr Duration MaxIdleTime = std::chrono::seconds(4);
// The largest answer is a row range of the store of 1 MB in base64, which this exceeds.
constexpr uint64_t MaxResponseBodyBytes = 4ULL * 1024 * 1024;

struct Connection
{
    explicit Connection(asio::io_context &ioContext)
        : stream(ioContext)
    {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    Instant idleSince{};
};

} // namespace

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State>
{
    State(asio::io_context &context, const std::string &text)
        : ioContext(context)
        , address(text)
        , endpoint(parseEndpoint(text))
    {}

    std::shared_ptr<Connection> takeIdleConnection()
    {
        while (!idleConnections.empty()) {
            auto connection = std::move(idleConnections.back());
            idleConnections.pop_back();
            if (steadyNow() - connection->idleSince < MaxIdleTime) {
                return connection;
            }
        }
        return nullptr;
    }

    asio::io_context &ioContext;
    std::string address;
    std::optional<asio::ip::tcp::endpoint> endpoint;
    std::vector<std::shared_ptr<Connection>> idleConnections;
};

namespace {

// State of one call and its connection.
template <typename State>
struct Exchange : std::enable_shared_from_this<Exchange<State>>
{
    Exchange(std::shared_ptr<State> owner, HttpRequest call,
             std::function<void(HttpResult)> callback)
        : state(std::move(owner))
        , done(std::move(callback))
    {
        request.method_string(call.method);
        request.target(call.target);
        request.version(11);
        request.set(http::field::host, state->address);
        for (const auto &[name, value] : call.headers) {
            request.set(name, value);
        }
        request.body() = std::move(call.body);
        if (!request.body().empty()) {
            request.set(http::field::content_type, "application/json");
        }
        request.prepare_payload();
        parser.body_limit(MaxResponseBodyBytes);
    }

    void start(Duration timeout)
    {
        auto self = this->shared_from_this();
        deadline = bootNow() + timeout;
        if (!state->endpoint) {
            asio::post(state->ioContext, [self] {
                self->done(tl::make_unexpected(HttpError{
                    HttpFault::NotSent, "'" + self->state->address + "' is not IP:PORT"}));
            });
            return;
        }
        connection = state->takeIdleConnection();
        const bool isNew = !connection;
        if (isNew) {
            connection = std::make_shared<Connection>(state->ioContext);
        }
        connection->stream.expires_after(timeout);
        if (!isNew) {
            write();
            return;
        }
        connection->stream.async_connect(*state->endpoint, [self, timeout](beast::error_code ec) {
            if (ec) {
                self->fail(HttpFault::NotSent, "connect", ec);
                return;
            }
            configureSocket(self->connection->stream.socket(), timeout);
            // The stream closes the socket when the timeout expires; without lingering this resets
            // the connection, so that no bytes of the call are delivered later.
            beast::error_code ignored;
            self->connection->stream.socket().set_option(asio::socket_base::linger(true, 0),
                                                         ignored);
            self->write();
        });
    }

    void write()
    {
        auto self = this->shared_from_this();
        if (bootNow() >= deadline) {
            fail(HttpFault::NotSent, "send", asio::error::timed_out);
            return;
        }
        http::async_write(connection->stream, request, [self](beast::error_code ec, size_t) {
            if (ec) {
                self->fail(HttpFault::Lost, "write", ec);
                return;
            }
            self->read();
        });
    }

    void read()
    {
        auto self = this->shared_from_this();
        http::async_read(connection->stream, connection->buffer, parser,
                         [self](beast::error_code ec, size_t) {
                             if (ec) {
                                 self->fail(HttpFault::Lost, "read", ec);
                                 return;
                             }
                             self->finish();
                         });
    }

    void finish()
    {
        auto response = parser.release();
        connection->stream.expires_never();
        if (response.keep_alive()) {
            connection->idleSince = steadyNow();
            state->idleConnections.push_back(connection);
        }
        HttpResponse result{response.result_int(), std::move(response.body()), {}};
        for (const auto &it : response.base()) {
            result.headers.emplace_back(it.name_string(), it.value());
        }
        done(std::move(result));
    }

    void fail(HttpFault fault, const char *step, beast::error_code ec)
    {
        resetSocket(connection->stream.socket());
        done(tl::make_unexpected(
            HttpError{fault, std::string(step) + " " + state->address + ": " + ec.message()}));
    }

    std::shared_ptr<State> state;
    std::function<void(HttpResult)> done;
    BootInstant deadline{};
    std::shared_ptr<Connection> connection;
    http::request<http::string_body> request;
    http::response_parser<http::string_body> parser;
};

} // namespace

HttpClient::HttpClient(asio::io_context &ioContext, const std::string &address)
    : m_state(std::make_shared<State>(ioContext, address))
{}

HttpClient::~HttpClient() = default;

asio::io_context &HttpClient::ioContext() const
{
    return m_state->ioContext;
}

void HttpClient::call(HttpRequest request, Duration timeout, std::function<void(HttpResult)> done)
{
    std::make_shared<Exchange<State>>(m_state, std::move(request), std::move(done))->start(timeout);
}

} // namespace gentianplank
