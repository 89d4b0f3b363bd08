#include "gentianplank/http/tcp_listener.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/http/endpoint.h"

#include <boost/asio/steady_timer.hpp>

namespace gentianplank {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Delay after a failed accept. With too few file descriptors, a retry at once would fail again and
// keep the thread busy.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

struct TcpListener::State : std::enable_shared_from_this<TcpListener::State>
{
    State(asio::io_context &ioContext, Handler onSocket)
        : acceptor(ioContext)
        , retryTimer(ioContext)
        , handler(std::move(onSocket))
    {}

    void accept()
    {
        if (isPaused || isAccepting) {
            return;
        }
        isAccepting = true;
        acceptor.async_accept(
            [self = shared_from_this()](error_code ec, asio::ip::tcp::socket socket) {
                self->isAccepting = false;
                if (self->isClosed || (ec && self->isPaused)) {
                    return;
                }
                if (!ec) {
                    self->handler(std::move(socket));
                    self->accept();
                    return;
                }
                logEvent("accept.failed", {{"address", self->address}, {"why", ec.message()}});
                self->retryTimer.expires_after(AcceptRetryDelay);
                self->retryTimer.async_wait([self](error_code) {
                    if (!self->isClosed) {
                        self->accept();
                    }
                });
            });
    }

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
    Handler handler;
    std::string address;
    bool isClosed = false;
    bool isPaused = false;
    // An accept operation is pending.
    bool isAccepting = false;
};

TcpListener::TcpListener(asio::io_context &ioContext, Handler handler)
    : m_state(std::make_shared<State>(ioContext, std::move(handler)))
{}

TcpListener::~TcpListener()
{
    m_state->isClosed = true;
    error_code ec;
    m_state->acceptor.close(ec);
    m_state->retryTimer.cancel();
}

std::optional<std::string> TcpListener::start(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return "can't listen on '" + address + "': the address is not IP:PORT";
    }
    error_code ec;
    auto &acceptor = m_state->acceptor;
    acceptor.open(endpoint->protocol(), ec);
    acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    acceptor.bind(*endpoint, ec);
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return "can't listen on " + address + ": " + ec.message();
    }
    m_state->address = address;
    m_state->accept();
    return std::nullopt;
}

void TcpListener::pause()
{
    m_state->isPaused = true;
    error_code ec;
    m_state->acceptor.cancel(ec);
}

void TcpListener::resume()
{
    m_state->isPaused = false;
    if (m_state->acceptor.is_open()) {
        m_state->accept();
    }
}

uint16_t TcpListener::port() const
{
    error_code ec;
    const auto endpoint = m_state->acceptor.local_endpoint(ec);
    return ec ? 0 : endpoint.port();
}

} // namespace gentianplank
