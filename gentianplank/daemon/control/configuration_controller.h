// Keeps the configuration in force at this VM up to the store's log, and stores operators'
// changes.
//
// A revision reaches a VM by a push from the VM that stored it, by heartbeats that show it, and by
// the store; gaps are filled from a peer before the store is asked.
//
//     ConfigurationController controller(parts);
//     controller.start();
//     auto outcome = controller.submit(request, vm);      // blocking, on any thread
#pragma once

#include "gentianplank/base/refusal.h"
#include "gentianplank/configuration/change.h"
#include "gentianplank/configuration/change_log.h"
#include "gentianplank/daemon/control/control_loop.h"
#include "gentianplank/daemon/control/fleet_boards.h"
#include "gentianplank/daemon/control/membership_controller.h"
#include "gentianplank/daemon/control/peer_clients.h"
#include "gentianplank/proto/admin.pb.h"
#include "gentianplank/store/object_store.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>

namespace gentianplank {

// What the controller works with. The referred objects outlive it.
struct ConfigurationParts
{
    ControlLoop &loop;
    ChangeLog &log;
    ObjectStore &objects;
    FleetBoards &boards;
    PeerClients &peers;
    // Runs on the control thread after each applied revision.
    std::function<void()> onApplied;
};

class ConfigurationController
{
public:
    explicit ConfigurationController(ConfigurationParts parts);
    ~ConfigurationController();

    // Starts polling the store. `membership` outlives the control thread.
    void start(MembershipController &membership);

    // Validates and stores an operator's change, then waits as the request says until it is in
    // force everywhere. Blocks, so not for the control thread. Thread-safe.
    tl::expected<admin::v1::ChangeReply, Refusal> submit(const admin::v1::ChangeRequest &request,
                                                         std::string_view vm);

    // Returns stored changes after a revision. Blocks. Thread-safe.
    tl::expected<std::vector<ConfigurationChange>, StoreError>
    history(uint64_t afterRevision, uint32_t limit, Duration timeout);

    // Answer peers. Block shortly. Thread-safe.
    vm::v1::WitnessReply onWitness(const vm::v1::WitnessRequest &request);
    vm::v1::FetchChangesReply onFetchChanges(const vm::v1::FetchChangesRequest &request);

    // Fetches what this VM misses from a peer, or from the store when the address is empty. Control
    // thread only.
    void catchUp(const std::string &address);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
