// The traffic thread of an entry VM: callers, peers, members, readiness.
//
//     Traffic traffic(settings, incarnation, handler);
//     if (auto error = traffic.start()) { ... }
//     traffic.publish(view);
#pragma once

#include "gentianplank/node/traffic/fleet_view.h"
#include "gentianplank/node/traffic/forwarded_statement.h"
#include "gentianplank/peer/proto/peer.pb.h"
#include "gentianplank/settings/entry_vm_settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gentianplank {

// What the traffic thread tells the control thread. Called on the traffic thread.
struct TrafficHandler
{
    // This VM can't reach a member.
    std::function<void(const std::string &group, const std::string &member)> onMemberUnreachable;
    // A peer, or this VM, asks the control thread something; `reply` may be called on any thread.
    std::function<void(const peer::v1::Frame &frame,
                       std::function<void(const peer::v1::Frame &)> reply)>
        onControlRequest;
    std::function<void(const std::string &vm, const peer::v1::Frame &frame)> onControlReply;
    // The link to a peer broke.
    std::function<void(const std::string &vm)> onPeerLost;
    // This VM stops, and dispatches for its members no longer.
    std::function<void()> onHandOver;
    // Every session has ended, or the time to stop is over.
    std::function<void()> onStopped;
};

// The public functions are thread-safe unless they say otherwise.
class Traffic
{
public:
    Traffic(EntryVmSettings settings, uint64_t incarnation, TrafficHandler handler);
    ~Traffic();

    // Listens and starts the thread. Returns what failed, if anything did. Metrics are served at
    // the address for readiness, and at `metricsPort` unless it is 0 or taken.
    std::optional<std::string> start(uint16_t metricsPort = 0);

    // The address where peers reach this VM; only after start().
    std::string peerAddress() const;

    void publish(std::shared_ptr<const FleetView> view);
    void publishProofs(const FleetProofs &proofs);

    // Takes changed limits; see changeRunning().
    void applySettings(const EntryVmSettings &settings);

    // Sends a frame to a peer, or to this VM itself.
    void sendToPeer(const std::string &vm, const peer::v1::Frame &frame);

    // Gives up every right to the group's primary under epochs below `epoch`. An orderly change
    // lets transactions end first. `done` is called on the traffic thread.
    void releasePrimary(const std::string &group, uint64_t epoch, bool isOrderly,
                        std::function<void()> done);

    // Is not ready from now on; ends sessions and transactions, then calls onStopped.
    void stop();

    // Ends the thread. After onStopped.
    void join();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
