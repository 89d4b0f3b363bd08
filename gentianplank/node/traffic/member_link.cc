#include "gentianplank/node/traffic/member_link.h"

#include "gentianplank/http/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>

namespace gentianplank {

namespace asio = boost::asio;
using boost::system::error_code;
using platform::LineBuffer;
using platform::MemberLine;

namespace {

constexpr size_t ReadBytes = 4UL * 1024;
// Limit on the size of an answer: several messages of the largest size.
constexpr size_t MaxAnswerBytes = 8UL * 1024 * 1024;
// TCP user timeout: the connection ends when a request stays unacknowledged for this long. Well
// above the round trip within a region, and below any statement timeout.
constexpr Duration UnacknowledgedDataTimeout = std::chrono::milliseconds(500);

// Links are opened by the traffic thread and by the control thread.
uint64_t nextNumber()
{
    static std::atomic<uint64_t> last{0};
    return ++last;
}

} // namespace

struct MemberLink::State
{
    State(asio::io_context &ioContext, const MemberLinkParameters &parameters)
        : organisation(parameters.organisation)
        , socket(ioContext)
        , timer(ioContext)
        , buffer(platform::MaxMessageBytes)
        , memory(parameters.memory, OrdinaryBytes,
                 {[this] {
                      const auto keptAlive = link->shared_from_this();
                      link->fail(MemberReply::Kind::Broken,
                                 "the answer was given up, as the VM's memory limit is reached");
                  },
                  [this] { link->read(); }})
    {
        memory.setOwner(organisation, "");
    }

    const uint64_t number = nextNumber();
    const std::string organisation;

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, ReadBytes> chunk{};
    LineBuffer buffer;
    std::string writeBuffer;
    ReplyHandler handler;
    std::function<void()> idleCloseHandler;
    MemberReply reply;
    bool isOpen = false;
    bool isClosed = false;
    bool isReading = false;
    // The owner, for the callbacks of the account.
    MemberLink *link = nullptr;
    MemoryAccount memory;
};

MemberLink::MemberLink(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
    m_state->link = this;
}

MemberLink::~MemberLink() = default;

std::shared_ptr<MemberLink> MemberLink::open(asio::io_context &ioContext,
                                             const MemberLinkParameters &parameters,
                                             Duration timeout, ReplyHandler opened)
{
    std::shared_ptr<MemberLink> link(
        new MemberLink(std::make_unique<State>(ioContext, parameters)));
    link->m_state->handler = std::move(opened);
    link->armTimer(timeout);
    const auto endpoint = parseEndpoint(parameters.address);
    if (!endpoint) {
        asio::post(ioContext, [link, parameters] {
            link->fail(MemberReply::Kind::Broken, "'" + parameters.address + "' is not IP:PORT");
        });
        return link;
    }
    link->m_state->socket.async_connect(*endpoint, [link, parameters](error_code ec) {
        if (link->m_state->isClosed) {
            return;
        }
        if (ec) {
            link->fail(MemberReply::Kind::Broken, "connect: " + ec.message());
            return;
        }
        link->connected(parameters);
    });
    return link;
}

void MemberLink::connected(const MemberLinkParameters &parameters)
{
    configureSocket(m_state->socket, UnacknowledgedDataTimeout);
    m_state->isOpen = true;
    read();
    write(platform::encodeMemberStart(parameters.group, parameters.organisation,
                                      parameters.memberId));
}

void MemberLink::request(std::string line, Duration timeout, ReplyHandler handler)
{
    m_state->handler = std::move(handler);
    m_state->reply = {};
    if (m_state->isClosed) {
        asio::post(m_state->socket.get_executor(), [self = shared_from_this()] {
            MemberReply reply;
            reply.text = "the connection is closed";
            self->finish(std::move(reply));
        });
        return;
    }
    armTimer(timeout);
    write(std::move(line));
}

void MemberLink::close()
{
    fail(MemberReply::Kind::Closed, "closed by this VM");
}

void MemberLink::onIdleClose(std::function<void()> handler)
{
    m_state->idleCloseHandler = std::move(handler);
}

bool MemberLink::isOpen() const
{
    return m_state->isOpen && !m_state->isClosed;
}

uint64_t MemberLink::number() const
{
    return m_state->number;
}

const std::string &MemberLink::organisation() const
{
    return m_state->organisation;
}

bool MemberLink::isBusy() const
{
    return static_cast<bool>(m_state->handler);
}

void MemberLink::read()
{
    if (m_state->isReading || m_state->isClosed || !m_state->memory.mayRead()) {
        return;
    }
    m_state->isReading = true;
    m_state->socket.async_read_some(
        asio::buffer(m_state->chunk), [self = shared_from_this()](error_code ec, size_t n) {
            self->m_state->isReading = false;
            if (self->m_state->isClosed) {
                return;
            }
            if (ec) {
                self->fail(MemberReply::Kind::Broken, "read: " + ec.message());
                return;
            }
            self->m_state->buffer.append({self->m_state->chunk.data(), n});
            self->processLines();
            self->updateMemory();
            self->read();
        });
}

void MemberLink::updateMemory()
{
    m_state->buffer.compact();
    m_state->memory.set(MemoryHolder::MemberAnswers,
                        m_state->buffer.memory() + m_state->reply.lines.capacity());
}

void MemberLink::processLines()
{
    while (!m_state->isClosed) {
        const auto text = m_state->buffer.next();
        if (!text) {
            break;
        }
        if (!isBusy()) {
            fail(MemberReply::Kind::Broken, "the member sent data without a request");
            return;
        }
        const MemberLine line = platform::decodeMemberLine(*text);
        MemberReply &reply = m_state->reply;
        if (line.kind == MemberLine::Kind::Ready) {
            reply.kind = MemberReply::Kind::Answer;
            reply.state = line.state;
            reply.position = line.position;
            finish(std::move(reply));
            continue;
        }
        if (line.kind == MemberLine::Kind::Malformed) {
            fail(MemberReply::Kind::Broken, "the member sent a malformed line");
            return;
        }
        if (line.kind == MemberLine::Kind::Error) {
            reply.code = line.code;
            reply.text = line.text;
        }
        if (line.kind == MemberLine::Kind::Row && reply.lines.empty()) {
            reply.status = platform::decodeStatus(line.fields);
        }
        reply.lines.append(*text).append("\r\n");
        if (reply.lines.size() > MaxAnswerBytes) {
            fail(MemberReply::Kind::Broken, "the member's answer exceeds 8 MiB");
        }
    }
    if (!m_state->isClosed && m_state->buffer.isTooLong()) {
        fail(MemberReply::Kind::Broken, "the member sent a line that exceeds 1 MiB");
    }
}

void MemberLink::write(std::string line)
{
    m_state->writeBuffer = std::move(line);
    asio::async_write(m_state->socket, asio::buffer(m_state->writeBuffer),
                      [self = shared_from_this()](error_code ec, size_t) {
                          if (ec && !self->m_state->isClosed) {
                              self->fail(MemberReply::Kind::Broken, "write: " + ec.message());
                          }
                      });
}

void MemberLink::armTimer(Duration timeout)
{
    m_state->timer.expires_after(timeout);
    m_state->timer.async_wait([weak = weak_from_this()](error_code ec) {
        auto self = weak.lock();
        // Ignores a wait that expired just before the timer was set again.
        const bool isExpired =
            self && self->m_state->timer.expiry() <= std::chrono::steady_clock::now();
        if (!ec && isExpired && self->isBusy() && !self->m_state->isClosed) {
            self->fail(MemberReply::Kind::TimedOut, "no answer within the timeout");
        }
    });
}

void MemberLink::finish(MemberReply reply)
{
    m_state->timer.cancel();
    auto handler = std::move(m_state->handler);
    m_state->handler = nullptr;
    if (handler) {
        handler(std::move(reply));
    }
}

void MemberLink::fail(MemberReply::Kind kind, const std::string &what)
{
    if (m_state->isClosed) {
        return;
    }
    m_state->isClosed = true;
    m_state->memory.set(MemoryHolder::MemberAnswers, 0);
    m_state->timer.cancel();
    resetSocket(m_state->socket);
    if (isBusy()) {
        MemberReply reply = std::move(m_state->reply);
        reply.kind = kind;
        // An error that came before a close is more specific than the close.
        if (!reply.code) {
            reply.text = what;
        }
        finish(std::move(reply));
    } else if (m_state->idleCloseHandler) {
        auto idleCloseHandler = std::move(m_state->idleCloseHandler);
        idleCloseHandler();
    }
}

} // namespace gentianplank
