// A connection between two entry VMs that carries frames in both directions.
//
//     auto link = PeerLink::connect(ioContext, endpoint, timeout, handler);
//     link->send(frame);
#pragma once

#include "gentianplank/base/memory_budget.h"
#include "gentianplank/base/time.h"
#include "gentianplank/peer/proto/peer.pb.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace gentianplank {

class PeerLink;

// The callbacks of a link. All are called on its thread; none after `onClosed`.
struct PeerLinkHandler
{
    std::function<void(const std::shared_ptr<PeerLink> &)> onOpen;
    std::function<void(const std::shared_ptr<PeerLink> &, const peer::v1::Frame &)> onFrame;
    // `wasOpen` is false when the connection was never established.
    std::function<void(const std::shared_ptr<PeerLink> &, bool wasOpen, const std::string &reason)>
        onClosed;
    // For the link's frames; may be null.
    std::shared_ptr<MemoryBudget> memory = nullptr;
};

// Not thread-safe: use it on its I/O context's thread.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    // Connects to a peer. Calls `onOpen` when connected, or `onClosed` after `timeout` or an error.
    static std::shared_ptr<PeerLink> connect(boost::asio::io_context &ioContext,
                                             const boost::asio::ip::tcp::endpoint &endpoint,
                                             Duration timeout, PeerLinkHandler handler);

    // Takes over an accepted connection. Does not call `onOpen`.
    static std::shared_ptr<PeerLink> accept(boost::asio::ip::tcp::socket socket,
                                            PeerLinkHandler handler);

    ~PeerLink();

    // Queues a frame; a link whose queue grows beyond its limit is closed. Does nothing on a closed
    // link.
    void send(const peer::v1::Frame &frame);

    // Resets the connection. Frames that were not sent yet are dropped, and `onClosed` follows
    // later.
    void close(const std::string &reason);

    bool isOpen() const;

    // The name of the peer as set by setPeerName(); empty before.
    const std::string &peerName() const;
    void setPeerName(std::string name);

private:
    struct State;
    explicit PeerLink(std::unique_ptr<State> state);
    void read();
    void write();
    void fail(const std::string &reason);
    void readFrames();
    void updateMemory();

    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
