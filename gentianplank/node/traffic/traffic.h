// The traffic thread of an entry VM: serves callers, peers and the readiness endpoint, and
// dispatches statements to members.
//
//     Traffic traffic(settings, incarnation, handler);
//     if (auto error = traffic.start()) { ... }
//     traffic.publish(view);
#pragma once

#include "gentianplank/node/traffic/fleet_view.h"
#include "gentianplank/node/traffic/forwarded_statement.h"
#include "gentianplank/node/traffic/zone_routing.h"
#include "gentianplank/peer/proto/peer.pb.h"
#include "gentianplank/settings/entry_vm_settings.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gentianplank {

// Callbacks to the control thread, called on the traffic thread.
struct TrafficHandler
{
    // This VM failed to reach a member.
    std::function<void(const std::string &group, const std::string &member)> onMemberUnreachable;
    // A member that this VM dispatches for fails or hangs the statements that need it as the
    // primary.
    std::function<void(const std::string &group, const std::string &member,
                       const Evidence &evidence)>
        onPrimaryFailing;
    // A peer or this VM sent a request for the control thread. `reply` may be called on any thread.
    std::function<void(const peer::v1::Frame &frame,
                       std::function<void(const peer::v1::Frame &)> reply)>
        onControlRequest;
    // A peer replied to a request of the control thread.
    std::function<void(const std::string &vm, const peer::v1::Frame &frame)> onControlReply;
    // The link to a peer was lost.
    std::function<void(const std::string &vm)> onPeerLost;
    // This VM is shutting down and no longer dispatches for its members.
    std::function<void()> onHandOver;
    // All sessions have ended, or the time for the shutdown is over.
    std::function<void()> onStopped;
};

// The public functions are thread-safe unless they say otherwise.
class Traffic
{
public:
    // Of `zones`, the policy and the link between regions are used; the rest is in the settings.
    Traffic(EntryVmSettings settings, uint64_t incarnation, TrafficHandler handler,
            ZoneOptions zones = {});
    ~Traffic();

    // Starts listening and starts the thread. Returns an error message on failure. Metrics are
    // served at the readiness address, and also at `metricsPort` unless it is 0 or in use.
    std::optional<std::string> start(uint16_t metricsPort = 0);

    // Returns the address where peers reach this VM. Valid after start().
    std::string peerAddress() const;

    // Replaces the fleet view.
    void publish(std::shared_ptr<const FleetView> view);
    // Updates the times up to which the fleet view is proven to be current.
    void publishProofs(const FleetProofs &proofs);

    // Applies the settings that may change in a running process; see applyReload().
    void applySettings(const EntryVmSettings &settings);

    // Sends a frame to a peer, or to this VM itself.
    void sendToPeer(const std::string &vm, const peer::v1::Frame &frame);

    // Stops using the group's primary under epochs below `epoch`, then calls `done` on the traffic
    // thread. In an orderly change, transactions get a short time to end.
    void releasePrimary(const std::string &group, uint64_t epoch, bool isOrderly,
                        std::function<void()> done);

    // Starts the shutdown: readiness fails, transactions and sessions are ended, then onStopped is
    // called.
    void stop();

    // Stops the thread and waits for its end. Call it after onStopped.
    void join();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
