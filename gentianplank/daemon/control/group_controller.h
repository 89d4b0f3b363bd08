// Watches the members of the database groups that this VM dispatches for or watches for failover,
// and publishes what is known of them. A small fleet's VMs watch the other groups at a slow pace; a
// large one's publish them without reports.
//
//     GroupController controller(loop, channels, boards, groupBoard, "vm-1");
//     controller.updateTargets();              // on the control thread, after each change
#pragma once

#include "gentianplank/daemon/control/control_loop.h"
#include "gentianplank/daemon/control/fleet_boards.h"
#include "gentianplank/store/channel.h"
#include "gentianplank/target/group_view_registry.h"

#include <memory>
#include <string>

namespace gentianplank {

class GroupController
{
public:
    GroupController(ControlLoop &loop, ChannelFactory &channels, FleetBoards &boards,
                    GroupViewRegistry &groupBoard, std::string self);
    ~GroupController();

    // Follows the configuration and the VMs: watches new members, forgets removed ones. Control
    // thread only.
    void updateTargets();

    // Ends all watches. Blocks. The control thread must still run.
    void stop();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
