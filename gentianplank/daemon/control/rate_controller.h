// Shares the organisations' rates with the other VMs: requests slices from rate owners, allocates
// slices as primary owner, and renews them as backup owner.
//
//     RateController controller(loop, channels, fleetState, limiter, "vm-1");
//     controller.start();
//     controller.update(steadyNow());                      // after a change of the fleet state
//     vm::v1::LendReply reply = controller.lend(request);  // on the peer service's threads
#pragma once

#include "gentianplank/daemon/control/control_loop.h"
#include "gentianplank/daemon/control/fleet_state.h"
#include "gentianplank/organisation/rate_limiter.h"
#include "gentianplank/proto/vm.pb.h"
#include "gentianplank/store/channel.h"

#include <memory>
#include <string>

namespace gentianplank {

class RateController
{
public:
    // The referenced objects must outlive the controller. `self` is this VM's name.
    RateController(ControlLoop &loop, ChannelFactory &channels, FleetState &fleetState,
                   RateLimiter &limiter, std::string self);

    // Waits for outstanding calls, which the call deadline bounds.
    ~RateController();

    // Starts the periodic requests. Call once, before or after the loop's start.
    void start();

    // Applies the member list and the limits of the fleet state. Control thread only.
    void update(Instant now);

    // Handles a peer's request. Waits a bounded time for the control thread and returns an empty
    // reply when that elapses. Thread-safe; not for the control thread.
    vm::v1::LendReply lend(const vm::v1::LendRequest &request);

    // Returns this VM's slices, and waits until the rates that it owns are handed over to their
    // next owners, which starts once the member list marks this VM as leaving. Blocks for a bounded
    // time. For the shutdown thread; not for the control thread.
    void release();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
