#include "gentianplank/node/traffic/peer_mesh.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/http/endpoint.h"
#include "gentianplank/http/tcp_listener.h"

#include <algorithm>
#include <map>
#include <unordered_set>

namespace gentianplank {

namespace asio = boost::asio;

namespace {

// Allows for the round trip to another region, 40 ms, and the retransmission of a lost packet after
// about 200 ms.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(600);
// A peer that owes answers is pinged after this silence: longer than most statements take.
constexpr Duration OverdueAnswerSilence = std::chrono::milliseconds(200);
// Any open link is pinged after this silence.
constexpr Duration IdleLinkSilence = std::chrono::seconds(2);
constexpr Duration PingInterval = std::chrono::milliseconds(200);
// A link is closed after this silence following a ping: several round trips to another region, and
// time for the retransmission of a lost packet.
constexpr Duration PingTimeout = std::chrono::milliseconds(650);
// Interval at which each of a few peers is asked for proofs.
constexpr Duration ProofInterval = std::chrono::milliseconds(500);
constexpr int ProofPeers = 3;
// Delay before a peer that could not be reached is tried again.
constexpr Duration ReconnectBackoff = std::chrono::milliseconds(250);
// Links that carried no call or request for this long are closed.
constexpr Duration UnusedLinkTimeout = std::chrono::seconds(20);
// A call without an answer this long after its statement's deadline has lost it: the peer answers
// at the deadline at the latest, and may be slow.
constexpr Duration LostAnswerGrace = std::chrono::seconds(2);
constexpr Duration LostAnswerCheckInterval = std::chrono::milliseconds(500);

struct PendingCall
{
    std::string vm;
    OutcomeHandler done;
    Instant deadline{};
};

struct Peer
{
    VmRecord record;
    std::shared_ptr<PeerLink> link;
    Instant failedUntil{};
    Instant lastFrameAt{};
    Instant lastPingAt{};
    // When the oldest unanswered ping was sent; default-constructed if there is none.
    Instant unansweredSince{};
    Instant lastCallAt{};
    uint32_t outstandingCalls = 0;
    Instant lastUseAt{};
    uint64_t pingNumber = 0;
    BootInstant pingSentAt{};
    bool isLeaving = false;
    bool isLoggedLost = false;
    // Incarnation of the process at the other end of the link; 0 until its hello arrives.
    uint64_t linkedIncarnation = 0;
};

} // namespace

struct PeerMesh::State : std::enable_shared_from_this<PeerMesh::State>
{
    State(asio::io_context &context, std::string name, uint64_t number, PeerMeshHandler callbacks)
        : ioContext(context)
        , ownName(std::move(name))
        , incarnation(number)
        , handler(std::move(callbacks))
        , listener(context, [this](asio::ip::tcp::socket socket) { acceptLink(std::move(socket)); })
    {}

    std::shared_ptr<PeerLink> linkTo(Peer &peer);
    peer::v1::Frame hello() const;
    void linkOpened(const std::string &vm);
    void linkClosed(const std::string &vm, const std::shared_ptr<PeerLink> &link, bool wasOpen,
                    const std::string &what);
    void handleFrame(const std::string &vm, const peer::v1::Frame &frame);
    void handlePong(const std::string &vm, const peer::v1::Pong &pong);
    void acceptLink(asio::ip::tcp::socket socket);
    void closePeerLink(Peer &peer, const std::string &reason);
    void ping(Peer &peer, Instant now, bool needsProof) const;
    void expireCalls(Instant now);

    asio::io_context &ioContext;
    std::string ownName;
    uint64_t incarnation;
    PeerMeshHandler handler;
    TcpListener listener;
    std::map<std::string, Peer, std::less<>> peers;
    std::map<uint64_t, PendingCall> calls;
    uint64_t nextCall = 1;
    Instant callsCheckedAt{};
    // Links opened by peers, with the origin numbers of their sessions.
    std::map<std::shared_ptr<PeerLink>, uint64_t> acceptedLinks;
    uint64_t nextOrigin = 1;
};

std::shared_ptr<PeerLink> PeerMesh::State::linkTo(Peer &peer)
{
    if (peer.link) {
        return peer.link;
    }
    const auto endpoint = parseEndpoint(peer.record.peerAddress);
    if (!endpoint) {
        return nullptr;
    }
    const std::string vm = peer.record.name;
    PeerLinkHandler callbacks;
    const std::weak_ptr<State> weak = weak_from_this();
    callbacks.onOpen = [weak, vm](const std::shared_ptr<PeerLink> &) {
        if (auto self = weak.lock()) {
            self->linkOpened(vm);
        }
    };
    callbacks.onFrame = [weak, vm](const std::shared_ptr<PeerLink> &,
                                   const peer::v1::Frame &frame) {
        if (auto self = weak.lock()) {
            self->handleFrame(vm, frame);
        }
    };
    callbacks.onClosed = [weak, vm](const std::shared_ptr<PeerLink> &link, bool wasOpen,
                                    const std::string &what) {
        if (auto self = weak.lock()) {
            self->linkClosed(vm, link, wasOpen, what);
        }
    };
    callbacks.memory = handler.memory;
    peer.link = PeerLink::connect(ioContext, *endpoint, ConnectTimeout, std::move(callbacks));
    peer.lastFrameAt = steadyNow();
    peer.lastPingAt = {};
    peer.link->send(hello());
    return peer.link;
}

peer::v1::Frame PeerMesh::State::hello() const
{
    peer::v1::Frame frame;
    frame.mutable_hello()->set_vm(ownName);
    frame.mutable_hello()->set_incarnation(incarnation);
    return frame;
}

void PeerMesh::State::linkOpened(const std::string &vm)
{
    const auto it = peers.find(vm);
    if (it == peers.end()) {
        return;
    }
    it->second.lastFrameAt = steadyNow();
    if (it->second.isLoggedLost) {
        it->second.isLoggedLost = false;
        logEvent("peer.regained", {{"vm", vm}});
    }
}

void PeerMesh::State::linkClosed(const std::string &vm, const std::shared_ptr<PeerLink> &link,
                                 bool wasOpen, const std::string &what)
{
    const auto it = peers.find(vm);
    if (it == peers.end() || it->second.link != link) {
        return;
    }
    it->second.link = nullptr;
    it->second.linkedIncarnation = 0;
    it->second.outstandingCalls = 0;
    it->second.unansweredSince = {};
    it->second.failedUntil = steadyNow() + ReconnectBackoff;
    if (!it->second.isLoggedLost) {
        it->second.isLoggedLost = true;
        logEvent("peer.lost", {{"vm", vm}, {"why", what}});
    }
    handler.onLinkLost(vm);
    std::vector<OutcomeHandler> lost;
    for (auto call = calls.begin(); call != calls.end();) {
        if (call->second.vm == vm) {
            lost.push_back(std::move(call->second.done));
            call = calls.erase(call);
        } else {
            ++call;
        }
    }
    for (const OutcomeHandler &done : lost) {
        StatementOutcome outcome =
            wasOpen ? unknownOutcome(ErrorCode::Unknown, "link to " + vm + " was lost: " + what)
                    : unreachable(vm + " is unreachable: " + what);
        outcome.isUnreachable = true;
        done(std::move(outcome));
    }
}

void PeerMesh::State::handleFrame(const std::string &vm, const peer::v1::Frame &frame)
{
    const auto it = peers.find(vm);
    if (it != peers.end()) {
        it->second.lastFrameAt = steadyNow();
        it->second.unansweredSince = {};
    }
    if (frame.has_answer()) {
        const auto call = calls.find(frame.answer().call());
        if (call != calls.end()) {
            const OutcomeHandler done = std::move(call->second.done);
            calls.erase(call);
            if (it != peers.end() && it->second.outstandingCalls > 0) {
                --it->second.outstandingCalls;
            }
            done(fromWire(frame.answer()));
        }
        return;
    }
    if (frame.has_pong()) {
        handlePong(vm, frame.pong());
        return;
    }
    if (frame.has_hello()) {
        if (it != peers.end()) {
            it->second.linkedIncarnation = frame.hello().incarnation();
        }
        return;
    }
    handler.onReply(vm, frame);
}

void PeerMesh::State::handlePong(const std::string &vm, const peer::v1::Pong &pong)
{
    const auto it = peers.find(vm);
    if (it == peers.end()) {
        return;
    }
    it->second.isLeaving = pong.leaving();
    if (pong.number() == it->second.pingNumber) {
        handler.onPong(vm, pong, it->second.pingSentAt);
    }
}

void PeerMesh::State::acceptLink(asio::ip::tcp::socket socket)
{
    PeerLinkHandler callbacks;
    const std::weak_ptr<State> weak = weak_from_this();
    callbacks.onFrame = [weak](const std::shared_ptr<PeerLink> &link,
                               const peer::v1::Frame &frame) {
        auto self = weak.lock();
        if (!self) {
            return;
        }
        if (frame.has_hello()) {
            link->setPeerName(frame.hello().vm());
            link->send(self->hello());
            return;
        }
        self->handler.onRequest(link, frame);
    };
    callbacks.onClosed = [weak](const std::shared_ptr<PeerLink> &link, bool, const std::string &) {
        auto self = weak.lock();
        if (!self) {
            return;
        }
        const auto it = self->acceptedLinks.find(link);
        if (it != self->acceptedLinks.end()) {
            const uint64_t origin = it->second;
            self->acceptedLinks.erase(it);
            self->handler.onOriginClosed(origin);
        }
    };
    callbacks.memory = handler.memory;
    acceptedLinks[PeerLink::accept(std::move(socket), std::move(callbacks))] = nextOrigin++;
}

void PeerMesh::State::closePeerLink(Peer &peer, const std::string &reason)
{
    if (peer.link) {
        const auto link = peer.link;
        const bool wasOpen = link->isOpen();
        // Closes the link before its calls are reported as not executed: nothing may be sent after
        // that.
        link->close(reason);
        linkClosed(peer.record.name, link, wasOpen, reason);
    }
}

PeerMesh::PeerMesh(asio::io_context &ioContext, std::string ownName, uint64_t incarnation,
                   PeerMeshHandler handler)
    : m_state(
          std::make_shared<State>(ioContext, std::move(ownName), incarnation, std::move(handler)))
{}

PeerMesh::~PeerMesh() = default;

std::optional<std::string> PeerMesh::listen(const std::string &address)
{
    return m_state->listener.start(address);
}

void PeerMesh::setPeers(std::span<const VmRecord> vms)
{
    for (const VmRecord &it : vms) {
        if (it.name == m_state->ownName) {
            continue;
        }
        const auto known = m_state->peers.find(it.name);
        const bool isSame =
            known != m_state->peers.end() && known->second.record.incarnation == it.incarnation;
        // The link to a new process may be open before the store lists the process.
        const bool isLinkedToProcess = known != m_state->peers.end() && known->second.link &&
                                       known->second.linkedIncarnation == it.incarnation;
        if (isSame || isLinkedToProcess) {
            known->second.record = it;
            continue;
        }
        if (known != m_state->peers.end()) {
            m_state->closePeerLink(known->second, "the peer was restarted");
        }
        Peer peer;
        peer.record = it;
        m_state->peers[it.name] = std::move(peer);
    }
    std::unordered_set<std::string_view> listed;
    for (const VmRecord &it : vms) {
        listed.insert(it.name);
    }
    std::vector<std::string> gone;
    for (const auto &known : m_state->peers) {
        if (listed.count(known.first) == 0) {
            gone.push_back(known.first);
        }
    }
    for (const std::string &name : gone) {
        m_state->closePeerLink(m_state->peers[name], "the peer is no longer listed");
        m_state->peers.erase(name);
    }
}

bool PeerMesh::isReachable(const std::string &vm) const
{
    const auto it = m_state->peers.find(vm);
    return it != m_state->peers.end() && !it->second.isLeaving &&
           (it->second.link || steadyNow() >= it->second.failedUntil);
}

void PeerMesh::call(const std::string &vm, const ForwardedStatement &statement, OutcomeHandler done)
{
    const auto it = m_state->peers.find(vm);
    const auto link = it == m_state->peers.end() ? nullptr : m_state->linkTo(it->second);
    if (!link) {
        done(unreachable("unknown VM " + vm));
        return;
    }
    it->second.lastUseAt = steadyNow();
    it->second.lastCallAt = it->second.lastUseAt;
    ++it->second.outstandingCalls;
    const uint64_t number = m_state->nextCall++;
    m_state->calls[number] = {vm, std::move(done), it->second.lastUseAt + statement.timeout};
    peer::v1::Frame frame;
    frame.mutable_execute()->set_call(number);
    toWire(statement, frame.mutable_execute());
    link->send(frame);
}

bool PeerMesh::send(const std::string &vm, const peer::v1::Frame &frame)
{
    const auto it = m_state->peers.find(vm);
    const auto link = it == m_state->peers.end() ? nullptr : m_state->linkTo(it->second);
    if (!link) {
        return false;
    }
    it->second.lastUseAt = steadyNow();
    link->send(frame);
    return true;
}

uint64_t PeerMesh::originOf(const std::shared_ptr<PeerLink> &link) const
{
    const auto it = m_state->acceptedLinks.find(link);
    return it == m_state->acceptedLinks.end() ? 0 : it->second;
}

void PeerMesh::State::ping(Peer &peer, Instant now, bool needsProof) const
{
    peer.lastPingAt = now;
    peer.pingSentAt = bootNow();
    if (peer.unansweredSince == Instant{}) {
        peer.unansweredSince = now;
    }
    peer::v1::Frame frame;
    frame.mutable_ping()->set_number(++peer.pingNumber);
    frame.mutable_ping()->set_needs_proof(needsProof);
    peer.link->send(frame);
}

// Ends the calls whose request or answer was lost on a link that works, such as a malformed frame.
void PeerMesh::State::expireCalls(Instant now)
{
    if (now - callsCheckedAt < LostAnswerCheckInterval) {
        return;
    }
    callsCheckedAt = now;
    std::vector<PendingCall> lost;
    std::erase_if(calls, [&](auto &it) {
        const bool isLost = now > it.second.deadline + LostAnswerGrace;
        if (isLost) {
            lost.push_back(std::move(it.second));
        }
        return isLost;
    });
    for (const PendingCall &it : lost) {
        const auto peer = peers.find(it.vm);
        if (peer != peers.end() && peer->second.outstandingCalls > 0) {
            --peer->second.outstandingCalls;
        }
        it.done(unknownOutcome(ErrorCode::Timeout, "no answer from " + it.vm));
    }
}

void PeerMesh::tick(bool needsProof)
{
    const Instant now = steadyNow();
    m_state->expireCalls(now);
    int peersToAsk = needsProof ? ProofPeers : 0;
    std::vector<std::pair<std::string, std::string>> ended;
    for (auto &[name, peer] : m_state->peers) {
        if (!peer.link || !peer.link->isOpen()) {
            continue;
        }
        if (now - peer.lastUseAt > UnusedLinkTimeout) {
            ended.emplace_back(name, "unused for too long");
            continue;
        }
        if (peer.unansweredSince != Instant{} && now - peer.unansweredSince > PingTimeout) {
            ended.emplace_back(name, "silent");
            continue;
        }
        const Duration silence = now - std::max(peer.lastFrameAt, peer.lastCallAt);
        const bool isOverdue = peer.outstandingCalls > 0 && silence > OverdueAnswerSilence;
        const bool isIdle = now - peer.lastFrameAt > IdleLinkSilence;
        const bool isAskedForProof = peersToAsk > 0 && now - peer.lastPingAt >= ProofInterval;
        peersToAsk -= peersToAsk > 0 ? 1 : 0;
        if (isAskedForProof || ((isOverdue || isIdle) && now - peer.lastPingAt >= PingInterval)) {
            m_state->ping(peer, now, needsProof);
        }
    }
    for (const auto &[name, reason] : ended) {
        m_state->closePeerLink(m_state->peers[name], reason);
    }
}

} // namespace gentianplank
