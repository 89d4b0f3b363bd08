// Joins this VM to the committed member list of its cell, keeps its standing by heartbeats and the
// store, tells which VMs are reachable, and expels dead ones.
//
//     MembershipController controller(parts, self);
//     controller.start();
#pragma once

#include "gentianplank/daemon/control/control_loop.h"
#include "gentianplank/daemon/control/fleet_boards.h"
#include "gentianplank/daemon/control/peer_clients.h"
#include "gentianplank/proto/vm.pb.h"
#include "gentianplank/store/table_store.h"
#include "gentianplank/vm/membership_lease.h"

#include <functional>
#include <memory>

namespace gentianplank {

// What the controller works with. The referred objects outlive it.
struct MembershipParts
{
    ControlLoop &loop;
    TableStore &store;
    FleetBoards &boards;
    PeerClients &peers;
    // Runs on the control thread when the directory changed.
    std::function<void()> onChange;
    // Runs on the control thread when a VM showed a newer configuration or list; the address of
    // one that has it, or empty for the store.
    std::function<void(const std::string &address)> catchUp;
};

// How far a stored change is.
struct ChangeProgress
{
    bool accepted = false;
    // Every VM that may act has applied it.
    bool confirmed = false;
    std::vector<std::string> laggingVms;
};

class MembershipController
{
public:
    // `self` names this VM; its incarnation is given by the store.
    MembershipController(MembershipParts parts, VmInfo self);
    ~MembershipController();

    void start();

    // Marks this VM as leaving in the store. Blocks. Thread-safe.
    void leave();

    // Ends this VM's standing and removes it from the list. Blocks. Thread-safe.
    void removeSelf();

    // Answers a peer. Blocks shortly. Thread-safe.
    vm::v1::HeartbeatReply onHeartbeat(const vm::v1::HeartbeatRequest &request);

    // The rest is for the control thread only.

    // Tells that the configuration was applied up to a revision.
    void onConfigurationApplied(uint64_t revision);

    // Applies a list that a peer has.
    void onMembers(const VmDirectory &list);

    // Asks a peer for its state at once.
    void askPeer(const VmInfo &peer);

    const MembershipLease &standing() const;

    ChangeProgress progressOf(uint64_t revision, uint64_t storedWith) const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
