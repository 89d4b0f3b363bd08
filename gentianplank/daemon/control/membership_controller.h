// Adds this VM to the committed member list of its partition, renews its membership lease by
// heartbeats and store reads, tracks which VMs are reachable, and expels dead ones.
//
//     MembershipController controller(dependencies, self);
//     controller.start();
#pragma once

#include "gentianplank/daemon/control/control_loop.h"
#include "gentianplank/daemon/control/fleet_state.h"
#include "gentianplank/daemon/control/peer_clients.h"
#include "gentianplank/proto/vm.pb.h"
#include "gentianplank/store/table_store.h"
#include "gentianplank/vm/membership_lease.h"

#include <functional>
#include <memory>

namespace gentianplank {

// The referenced objects must outlive the controller.
struct MembershipDependencies
{
    ControlLoop &loop;
    TableStore &store;
    FleetState &fleetState;
    PeerClients &peers;
    // Runs on the control thread when the published member list or a VM's reachability changed.
    std::function<void()> onChange;
    // Runs on the control thread when a VM or the store reported a newer configuration or member
    // list than this VM's. `address` is that of a VM that has it, or empty for the store.
    std::function<void(const std::string &address)> catchUp;
};

// How far a stored configuration change has spread.
struct ChangeProgress
{
    // A majority of the member list has applied it.
    bool accepted = false;
    // Every VM that may act has applied it.
    bool confirmed = false;
    std::vector<std::string> laggingVms;
};

class MembershipController
{
public:
    // `self` describes this VM; its incarnation is ignored and assigned on joining.
    MembershipController(MembershipDependencies dependencies, VmInfo self);
    ~MembershipController();

    void start();

    // Marks this VM as leaving in the stored member list. A failure is only logged. Blocks.
    // Thread-safe; not for the control thread.
    void leave();

    // Ends this VM's lease and removes the VM from the stored member list. When that fails, the
    // other VMs expel this one later. Blocks. Thread-safe; not for the control thread.
    void removeSelf();

    // Handles a peer's heartbeat. Waits a bounded time for the control thread and returns an empty
    // reply when that elapses. Thread-safe; not for the control thread.
    vm::v1::HeartbeatReply onHeartbeat(const vm::v1::HeartbeatRequest &request);

    // The functions below are for the control thread only.

    // Records that the configuration was applied up to a revision.
    void onConfigurationApplied(uint64_t revision);

    // Applies a member list received from a peer, if it is newer.
    void applyMemberList(const VmDirectory &list);

    // Sends a heartbeat now, ahead of the next periodic one, to learn the peer's revisions.
    void sendHeartbeat(const VmInfo &peer);

    const MembershipLease &lease() const;

    // Returns the progress of a configuration revision that was stored while the member list had
    // revision `storedMembersRevision`.
    ChangeProgress progressOf(uint64_t revision, uint64_t storedMembersRevision) const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
