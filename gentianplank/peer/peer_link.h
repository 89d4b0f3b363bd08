// One connection between two entry VMs, which carries frames both ways.
//
//     auto link = PeerLink::connect(ioContext, endpoint, hello, timeout, handler);
//     link->send(frame);
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/peer/proto/peer.pb.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace gentianplank {

class PeerLink;

// What a link tells. All calls come on its thread; none after `onClosed`.
struct PeerLinkHandler
{
    std::function<void(const std::shared_ptr<PeerLink> &)> onOpen;
    std::function<void(const std::shared_ptr<PeerLink> &, const peer::v1::Frame &)> onFrame;
    // `wasOpen` is false when the connection never came about.
    std::function<void(const std::shared_ptr<PeerLink> &, bool wasOpen, const std::string &what)>
        onClosed;
};

// Not thread-safe: use it on its I/O context's thread.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    // Connects to a peer. The handler learns what becomes of it.
    static std::shared_ptr<PeerLink> connect(boost::asio::io_context &ioContext,
                                             const boost::asio::ip::tcp::endpoint &endpoint,
                                             Duration timeout, PeerLinkHandler handler);

    // Takes over an accepted connection.
    static std::shared_ptr<PeerLink> accept(boost::asio::ip::tcp::socket socket,
                                            PeerLinkHandler handler);

    ~PeerLink();

    // Queues a frame; a link with too much queued is closed.
    void send(const peer::v1::Frame &frame);

    // Resets the connection: frames on the way are dropped. onClosed follows, later.
    void close(const std::string &reason);

    bool isOpen() const;

    // Of the far end, once it said so; empty before.
    const std::string &peerName() const;
    void setPeerName(std::string name);

private:
    struct State;
    explicit PeerLink(std::unique_ptr<State> state);
    void read();
    void write();
    void fail(const std::string &what);
    void readFrames();

    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
