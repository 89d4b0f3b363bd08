// This VM's links to its peers: connected when first needed, checked for life while in use.
//
//     mesh.call("vm-2", statement, onOutcome);
//     if (mesh.isReachable("vm-2")) { ... }
#pragma once

#include "gentianplank/node/traffic/forwarded_statement.h"
#include "gentianplank/peer/peer_link.h"
#include "gentianplank/vm/fleet_records.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <span>
#include <string>

namespace gentianplank {

// What the mesh tells. All calls come on its thread.
struct PeerMeshHandler
{
    // A peer asks this VM something; answers go to the link.
    std::function<void(const std::shared_ptr<PeerLink> &, const peer::v1::Frame &)> onRequest;
    // A link that a peer opened is gone. `origin` names the sessions that came over it.
    std::function<void(uint64_t origin)> onOriginClosed;
    // A peer answered something other than a statement.
    std::function<void(const std::string &vm, const peer::v1::Frame &)> onReply;
    // The link to a peer broke, or never came about.
    std::function<void(const std::string &vm)> onLinkLost;
    // A peer's answer to a ping; `sentAt` is when the ping was sent.
    std::function<void(const std::string &vm, const peer::v1::Pong &, BootInstant sentAt)> onPong;
};

// Not thread-safe: use it on its I/O context's thread.
class PeerMesh
{
public:
    PeerMesh(boost::asio::io_context &ioContext, std::string ownName, uint64_t incarnation,
             PeerMeshHandler handler);
    ~PeerMesh();

    // Listens for peers. Returns what failed, if anything did.
    std::optional<std::string> listen(const std::string &address);

    // Tells which peers there are. Links to others, or to earlier processes of a peer, are closed.
    void setPeers(std::span<const VmRecord> vms);

    // Whether statements may be sent to the peer; true for one that was not tried of late.
    bool isReachable(const std::string &vm) const;

    // Sends a statement. When the link breaks before the answer, the outcome is unknown; when it
    // never came about, the statement did not run.
    void call(const std::string &vm, const ForwardedStatement &statement, OutcomeHandler done);

    // Sends anything else. False when there is no such peer.
    bool send(const std::string &vm, const peer::v1::Frame &frame);

    // The number of the sessions that came over a link, for onRequest.
    uint64_t originOf(const std::shared_ptr<PeerLink> &link) const;

    // Pings, and closes what is silent. Call it about every 50 ms. `needsProof`: peers are asked to
    // prove the groups' records.
    void tick(bool needsProof);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
