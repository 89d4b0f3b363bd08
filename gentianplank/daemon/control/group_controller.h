// Subscribes to the status of the members of database groups, and publishes a view of every group.
// Groups that this VM dispatches for or watches for failover report often. With few groups in the
// configuration the other groups report at a slow interval; with many they don't, and their views
// come from the configuration alone.
//
//     GroupController controller(loop, channels, fleetState, groupViews, "vm-1");
//     controller.updateTargets();              // on the control thread, after each change
#pragma once

#include "gentianplank/daemon/control/control_loop.h"
#include "gentianplank/daemon/control/fleet_state.h"
#include "gentianplank/store/channel.h"
#include "gentianplank/target/group_view_registry.h"

#include <memory>
#include <string>

namespace gentianplank {

class GroupController
{
public:
    GroupController(ControlLoop &loop, ChannelFactory &channels, FleetState &fleetState,
                    GroupViewRegistry &groupViews, std::string self);
    ~GroupController();

    // Adapts the subscriptions to the configuration and member list of the fleet state: watches new
    // members and ends the watches of removed ones. No effect after stop(). Control thread only.
    void updateTargets();

    // Ends all watches. Blocks until their threads have ended. The control thread must still run.
    void stop();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
