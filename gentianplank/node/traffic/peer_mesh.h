// This VM's links to its peers. Links are opened on first use and probed while in use.
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

// Callbacks of the mesh, called on its I/O context's thread.
struct PeerMeshHandler
{
    // A peer sent a request; the reply goes to the link.
    std::function<void(const std::shared_ptr<PeerLink> &, const peer::v1::Frame &)> onRequest;
    // A link opened by a peer was closed. `origin` identifies the sessions that used it.
    std::function<void(uint64_t origin)> onOriginClosed;
    // A peer sent a frame other than the answer to a statement or a ping.
    std::function<void(const std::string &vm, const peer::v1::Frame &)> onReply;
    // The link to a peer was lost or could not be opened.
    std::function<void(const std::string &vm)> onLinkLost;
    // A peer answered the ping that was sent at `sentAt`.
    std::function<void(const std::string &vm, const peer::v1::Pong &, BootInstant sentAt)> onPong;
    // For the frames of all links; may be null.
    std::shared_ptr<MemoryBudget> memory = nullptr;
};

// Not thread-safe: use it on its I/O context's thread.
class PeerMesh
{
public:
    PeerMesh(boost::asio::io_context &ioContext, std::string ownName, uint64_t incarnation,
             PeerMeshHandler handler);
    ~PeerMesh();

    // Starts listening for peers. Returns an error message on failure.
    std::optional<std::string> listen(const std::string &address);

    // Replaces the list of peers. Closes links to VMs that are not listed and to earlier processes
    // of a peer.
    void setPeers(std::span<const VmRecord> vms);

    // Whether statements may be sent to the peer. True for a peer without a recent failure.
    bool isReachable(const std::string &vm) const;

    // Sends a statement. If the link is lost before the answer, the outcome is unknown; if the link
    // could not be opened, the statement was not executed.
    void call(const std::string &vm, const ForwardedStatement &statement, OutcomeHandler done);

    // Sends any other frame. Returns false if there is no such peer.
    bool send(const std::string &vm, const peer::v1::Frame &frame);

    // Returns the origin of the sessions that use a link passed to onRequest; 0 if the link is
    // closed.
    uint64_t originOf(const std::shared_ptr<PeerLink> &link) const;

    // Pings peers, and closes silent and unused links. Call it at least every 50 ms. With
    // `needsProof`, a few peers are asked for proofs of the groups' records.
    void tick(bool needsProof);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
