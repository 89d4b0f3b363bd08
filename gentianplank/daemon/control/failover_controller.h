// Runs the failover decisions for the groups that this VM watches, and planned switches.
//
//     FailoverController controller(loop, channels, targetChannels, boards, groupBoard, store,
//     self); controller.start();
#pragma once

#include "gentianplank/base/refusal.h"
#include "gentianplank/daemon/control/control_loop.h"
#include "gentianplank/daemon/control/fleet_boards.h"
#include "gentianplank/proto/admin.pb.h"
#include "gentianplank/proto/vm.pb.h"
#include "gentianplank/store/channel.h"
#include "gentianplank/store/table_store.h"
#include "gentianplank/target/group_view_registry.h"

#include <tl/expected.hpp>

#include <memory>

namespace gentianplank {

// How many VMs watch a group.
inline constexpr size_t WatchersPerGroup = 3;

class FailoverController
{
public:
    FailoverController(ControlLoop &loop, ChannelFactory &channels, ChannelFactory &targetChannels,
                       FleetBoards &boards, GroupViewRegistry &groupBoard, TableStore &store,
                       const VmInfo &self);
    ~FailoverController();

    void start();

    // Answers another watcher. Waits for the control thread for a moment. Thread-safe.
    vm::v1::ObserveReply observe(const vm::v1::ObserveRequest &request);

    // Drains the primary, waits for the wanted member's log, and changes the primary role. Refused
    // as not run when the member can't take over in time: the old primary then goes on. Blocks.
    // Thread-safe.
    tl::expected<admin::v1::SwitchPrimaryReply, Refusal>
    switchPrimary(const admin::v1::SwitchPrimaryRequest &request);

    // Waits for outstanding calls. The control thread must still run.
    void stop();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
