// Keeps this VM's configuration up to date with the store's change log, and stores operators'
// changes.
//
// A VM learns of a revision by a push from the VM that stored it, by heartbeats that report it, or
// by polling the store. Missing changes are fetched from a peer first, then from the store.
//
//     ConfigurationController controller(dependencies);
//     controller.start(membership);
//     auto outcome = controller.submit(request, vm);      // blocking, on any thread but control
#pragma once

#include "gentianplank/base/refusal.h"
#include "gentianplank/configuration/change.h"
#include "gentianplank/configuration/change_log.h"
#include "gentianplank/daemon/control/control_loop.h"
#include "gentianplank/daemon/control/fleet_state.h"
#include "gentianplank/daemon/control/membership_controller.h"
#include "gentianplank/daemon/control/peer_clients.h"
#include "gentianplank/proto/admin.pb.h"
#include "gentianplank/store/object_store.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>

namespace gentianplank {

// The referenced objects must outlive the controller.
struct ConfigurationDependencies
{
    ControlLoop &loop;
    ChangeLog &log;
    ObjectStore &objects;
    FleetState &fleetState;
    PeerClients &peers;
    // Runs on the control thread after one or more revisions were applied.
    std::function<void()> onApplied;
};

class ConfigurationController
{
public:
    explicit ConfigurationController(ConfigurationDependencies dependencies);
    ~ConfigurationController();

    // Starts polling the store. `membership` must outlive the control thread.
    void start(MembershipController &membership);

    // Validates and stores an operator's change, then waits up to the request's wait time until the
    // change is in force on every VM. A change whose write id is stored already isn't stored again.
    // Returns a refusal when the change is invalid, conflicts with another one, or can't be stored.
    // Blocks, so not for the control thread. Thread-safe.
    tl::expected<admin::v1::ChangeReply, Refusal> submit(const admin::v1::ChangeRequest &request,
                                                         std::string_view vm);

    // Reads up to `limit` changes after a revision from the store. Blocks. Thread-safe.
    tl::expected<std::vector<ConfigurationChange>, StoreError>
    history(uint64_t afterRevision, uint32_t limit, Duration timeout);

    // Handle peers' requests. Wait a bounded time for the control thread and return an empty reply
    // when that elapses. Thread-safe; not for the control thread.
    vm::v1::WitnessReply onWitness(const vm::v1::WitnessRequest &request);
    vm::v1::FetchChangesReply onFetchChanges(const vm::v1::FetchChangesRequest &request);

    // Fetches missing changes from the peer at an address, or from the store when the address is
    // empty. Control thread only.
    void catchUp(const std::string &address);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
