#include "gentianplank/http/http_listener.h"

#include "gentianplank/base/time.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace gentianplank {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// The platform's readiness prober and a metrics collector need one connection each; a stand-in of
// the store serves several VMs.
constexpr int MaxConnections = 64;
// Exceeds the intervals of probers (1 s) and metrics collectors (a few seconds).
constexpr Duration IdleTimeout = std::chrono::seconds(30);
// Stand-ins receive transactions for the platform's store: at most 1 MB, in base64.
constexpr uint64_t MaxRequestBodyBytes = 2UL * 1024 * 1024;

} // namespace

struct HttpListener::State
{
    State(asio::io_context &context, Handler answer)
        : ioContext(context)
        , handler(std::move(answer))
    {}

    asio::io_context &ioContext;
    Handler handler;
    int connections = 0;
};

namespace {

template <typename State>
struct ServedConnection : std::enable_shared_from_this<ServedConnection<State>>
{
    ServedConnection(std::shared_ptr<State> owner, asio::ip::tcp::socket socket)
        : state(std::move(owner))
        , stream(std::move(socket))
        , timer(state->ioContext)
    {
        ++state->connections;
    }
    ~ServedConnection() { --state->connections; }

    void read()
    {
        parser.emplace();
        parser->body_limit(MaxRequestBodyBytes);
        stream.expires_after(IdleTimeout);
        http::async_read(stream, buffer, *parser,
                         [self = this->shared_from_this()](beast::error_code ec, size_t) {
                             if (!ec) {
                                 self->answer();
                             }
                         });
    }

    void answer()
    {
        const auto &request = parser->get();
        HttpCall call{std::string(request.method_string()),
                      std::string(request.target()),
                      request.body(),
                      {}};
        for (const auto &it : request.base()) {
            call.headers.emplace_back(it.name_string(), it.value());
        }
        const HttpAnswer result = state->handler(call);
        response = {};
        response.result(result.status);
        response.version(11);
        response.keep_alive(request.keep_alive());
        response.set(http::field::content_type, result.contentType);
        for (const auto &[name, value] : result.headers) {
            response.set(name, value);
        }
        response.body() = result.body;
        response.prepare_payload();
        if (result.delay <= Duration::zero()) {
            write();
            return;
        }
        timer.expires_after(result.delay);
        timer.async_wait([self = this->shared_from_this()](beast::error_code ec) {
            if (!ec) {
                self->write();
            }
        });
    }

    void write()
    {
        http::async_write(stream, response,
                          [self = this->shared_from_this()](beast::error_code ec, size_t) {
                              if (!ec && self->response.keep_alive()) {
                                  self->read();
                              }
                          });
    }

    std::shared_ptr<State> state;
    beast::tcp_stream stream;
    asio::steady_timer timer;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
};

} // namespace

HttpListener::HttpListener(asio::io_context &ioContext, std::string address, Handler handler)
    : m_state(std::make_shared<State>(ioContext, std::move(handler)))
    , m_address(std::move(address))
    , m_listener(ioContext, [state = m_state](asio::ip::tcp::socket socket) {
        if (state->connections < MaxConnections) {
            std::make_shared<ServedConnection<State>>(state, std::move(socket))->read();
        }
    })
{}

HttpListener::~HttpListener() = default;

std::optional<std::string> HttpListener::start()
{
    return m_listener.start(m_address);
}

uint16_t HttpListener::port() const
{
    return m_listener.port();
}

} // namespace gentianplank
