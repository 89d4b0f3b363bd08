// Runs failover for the groups that this VM watches, and planned switches of the primary.
//
//     FailoverController controller(loop, channels, targetChannels, fleetState, groupViews, store,
//                                   self);
//     controller.start();
#pragma once

#include "gentianplank/base/refusal.h"
#include "gentianplank/daemon/control/control_loop.h"
#include "gentianplank/daemon/control/fleet_state.h"
#include "gentianplank/proto/admin.pb.h"
#include "gentianplank/proto/vm.pb.h"
#include "gentianplank/store/channel.h"
#include "gentianplank/store/table_store.h"
#include "gentianplank/target/group_view_registry.h"

#include <tl/expected.hpp>

#include <memory>

namespace gentianplank {

// How many VMs watch a group for failover.
inline constexpr size_t WatchersPerGroup = 3;

class FailoverController
{
public:
    FailoverController(ControlLoop &loop, ChannelFactory &channels, ChannelFactory &targetChannels,
                       FleetState &fleetState, GroupViewRegistry &groupViews, TableStore &store,
                       const VmInfo &self);
    ~FailoverController();

    void start();

    // Handles the query of another watcher. Waits a bounded time for the control thread and returns
    // an empty reply when that elapses. Thread-safe; not for the control thread.
    vm::v1::ObserveReply observe(const vm::v1::ObserveRequest &request);

    // Drains the primary, waits until the requested member's log has caught up, and promotes that
    // member. Refused as not run when the member can't take over in time; the old primary then
    // stays in its role. Refused with an unknown outcome when the promotion didn't end in time.
    // Blocks. Thread-safe; not for the control thread.
    tl::expected<admin::v1::SwitchPrimaryReply, Refusal>
    switchPrimary(const admin::v1::SwitchPrimaryRequest &request);

    // Starts no further asynchronous calls and waits for outstanding ones. The control thread must
    // still run.
    void stop();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
