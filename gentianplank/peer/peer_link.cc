#include "gentianplank/peer/peer_link.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/http/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cstring>

namespace gentianplank {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr size_t LengthPrefixBytes = 4;
// Fits the largest answer of a member and its envelope.
constexpr size_t MaxFrameBytes = 9UL * 1024 * 1024;
// The limit of the queue for a peer that does not read.
constexpr size_t MaxQueuedBytes = 16UL * 1024 * 1024;
// A link that holds more is closed when the VM's memory limit is reached; a peer that reads takes
// this within a tenth of a second.
constexpr size_t KeptBytes = 1024UL * 1024;
// Capacity up to which an empty buffer is kept for the next frames.
constexpr size_t KeptCapacity = 64UL * 1024;
constexpr size_t ReadBufferBytes = 16UL * 1024;
// The link is closed when sent bytes stay unacknowledged for this long: twice the longest round
// trip, and time to retransmit a lost packet.
constexpr Duration UnacknowledgedTimeout = std::chrono::milliseconds(1000);

std::string encodeFrame(const peer::v1::Frame &frame)
{
    const size_t size = frame.ByteSizeLong();
    std::string bytes(LengthPrefixBytes, '\0');
    for (size_t i = 0; i < LengthPrefixBytes; ++i) {
        bytes[i] = static_cast<char>((size >> (8 * (LengthPrefixBytes - 1 - i))) & 0xffU);
    }
    frame.AppendToString(&bytes);
    return bytes;
}

void releaseIfLarge(std::string &buffer)
{
    if (buffer.empty() && buffer.capacity() > KeptCapacity) {
        buffer = {};
    }
}

size_t decodeLength(const char *bytes)
{
    size_t size = 0;
    for (size_t i = 0; i < LengthPrefixBytes; ++i) {
        size = (size << 8U) | static_cast<unsigned char>(bytes[i]);
    }
    return size;
}

} // namespace

struct PeerLink::State
{
    State(asio::ip::tcp::socket connection, PeerLinkHandler callbacks)
        : socket(std::move(connection))
        , handler(std::move(callbacks))
        , connectTimer(socket.get_executor())
        , memory(handler.memory, KeptBytes,
                 {[this] { link->close("the VM's memory limit is reached"); }, {}})
    {
        // The calls of a closed link end as unknown, so links are closed last.
        memory.setShielded(true);
    }

    asio::ip::tcp::socket socket;
    PeerLinkHandler handler;
    asio::steady_timer connectTimer;
    std::array<char, ReadBufferBytes> readBuffer{};
    std::string received;
    std::string writing;
    std::string queued;
    std::string peerName;
    bool isOpen = false;
    // The link is being closed; its socket is closed soon after. From then on nothing is sent or
    // received, since queued statements may have been reported as not run.
    bool isClosing = false;
    bool isClosed = false;
    // The owner, for the callback of the account.
    PeerLink *link = nullptr;
    MemoryAccount memory;
};

PeerLink::PeerLink(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
    m_state->link = this;
}

PeerLink::~PeerLink() = default;

std::shared_ptr<PeerLink> PeerLink::connect(asio::io_context &ioContext,
                                            const asio::ip::tcp::endpoint &endpoint,
                                            Duration timeout, PeerLinkHandler handler)
{
    std::shared_ptr<PeerLink> link(new PeerLink(
        std::make_unique<State>(asio::ip::tcp::socket(ioContext), std::move(handler))));
    link->m_state->connectTimer.expires_after(timeout);
    link->m_state->connectTimer.async_wait([weak = link->weak_from_this()](error_code ec) {
        auto self = weak.lock();
        if (!ec && self && !self->m_state->isOpen) {
            self->fail("the connection was not established in time");
        }
    });
    link->m_state->socket.async_connect(endpoint, [link](error_code ec) {
        if (link->m_state->isClosing || link->m_state->isClosed) {
            return;
        }
        if (ec) {
            link->fail("connect: " + ec.message());
            return;
        }
        link->m_state->connectTimer.cancel();
        configureSocket(link->m_state->socket, UnacknowledgedTimeout);
        link->m_state->isOpen = true;
        link->read();
        link->m_state->handler.onOpen(link);
        link->write();
    });
    return link;
}

std::shared_ptr<PeerLink> PeerLink::accept(asio::ip::tcp::socket socket, PeerLinkHandler handler)
{
    std::shared_ptr<PeerLink> link(
        new PeerLink(std::make_unique<State>(std::move(socket), std::move(handler))));
    configureSocket(link->m_state->socket, UnacknowledgedTimeout);
    link->m_state->isOpen = true;
    link->read();
    return link;
}

void PeerLink::send(const peer::v1::Frame &frame)
{
    if (m_state->isClosing || m_state->isClosed) {
        return;
    }
    m_state->queued += encodeFrame(frame);
    if (m_state->queued.size() > MaxQueuedBytes) {
        close("the peer does not read, and the send queue is full");
        return;
    }
    write();
    updateMemory();
}

void PeerLink::updateMemory()
{
    releaseIfLarge(m_state->received);
    releaseIfLarge(m_state->queued);
    const bool isReleased = m_state->isClosing || m_state->isClosed;
    m_state->memory.set(MemoryHolder::PeerFrames, isReleased ? 0
                                                             : m_state->received.capacity() +
                                                                   m_state->queued.capacity() +
                                                                   m_state->writing.capacity());
}

void PeerLink::close(const std::string &reason)
{
    m_state->isClosing = true;
    updateMemory();
    asio::post(m_state->socket.get_executor(),
               [self = shared_from_this(), reason] { self->fail(reason); });
}

bool PeerLink::isOpen() const
{
    return m_state->isOpen && !m_state->isClosing && !m_state->isClosed;
}

const std::string &PeerLink::peerName() const
{
    return m_state->peerName;
}

void PeerLink::setPeerName(std::string name)
{
    m_state->peerName = std::move(name);
}

void PeerLink::read()
{
    m_state->socket.async_read_some(
        asio::buffer(m_state->readBuffer), [self = shared_from_this()](error_code ec, size_t n) {
            if (ec) {
                self->fail("read: " + ec.message());
                return;
            }
            self->m_state->received.append(self->m_state->readBuffer.data(), n);
            self->readFrames();
            if (!self->m_state->isClosing && !self->m_state->isClosed) {
                self->read();
            }
        });
}

void PeerLink::readFrames()
{
    std::string &received = m_state->received;
    size_t start = 0;
    while (!m_state->isClosing && !m_state->isClosed &&
           received.size() - start >= LengthPrefixBytes) {
        const size_t size = decodeLength(received.data() + start);
        if (size > MaxFrameBytes) {
            fail("the peer announced a frame of " + std::to_string(size) +
                 " bytes, which exceeds the limit");
            return;
        }
        if (received.size() - start - LengthPrefixBytes < size) {
            break;
        }
        peer::v1::Frame frame;
        if (!frame.ParseFromArray(received.data() + start + LengthPrefixBytes,
                                  static_cast<int>(size))) {
            // The frames after it are intact: only the call of this one is lost.
            logEvent("peer.malformed_frame", {{"vm", m_state->peerName}, {"bytes", size}});
            start += LengthPrefixBytes + size;
            continue;
        }
        start += LengthPrefixBytes + size;
        m_state->handler.onFrame(shared_from_this(), frame);
    }
    received.erase(0, start);
    updateMemory();
}

void PeerLink::write()
{
    if (!m_state->writing.empty() || m_state->queued.empty() || !m_state->isOpen ||
        m_state->isClosing) {
        return;
    }
    std::swap(m_state->writing, m_state->queued);
    asio::async_write(m_state->socket, asio::buffer(m_state->writing),
                      [self = shared_from_this()](error_code ec, size_t) {
                          if (ec) {
                              self->fail("write: " + ec.message());
                              return;
                          }
                          self->m_state->writing.clear();
                          releaseIfLarge(self->m_state->writing);
                          self->write();
                          self->updateMemory();
                      });
}

void PeerLink::fail(const std::string &reason)
{
    if (m_state->isClosed) {
        return;
    }
    m_state->isClosed = true;
    updateMemory();
    m_state->connectTimer.cancel();
    resetSocket(m_state->socket);
    m_state->handler.onClosed(shared_from_this(), m_state->isOpen, reason);
}

} // namespace gentianplank
