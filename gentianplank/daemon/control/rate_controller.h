// Shares the organisations' rates with the other VMs: asks homes for slices, lends as a home, and
// renews as a deputy.
//
//     RateController controller(loop, channels, boards, gate, "vm-1");
//     controller.start();
//     controller.update(steadyNow());                      // after a change of the boards
//     vm::v1::LendReply reply = controller.lend(request);  // on the peer service's threads
#pragma once

#include "gentianplank/daemon/control/control_loop.h"
#include "gentianplank/daemon/control/fleet_boards.h"
#include "gentianplank/organisation/rate_limiter.h"
#include "gentianplank/proto/vm.pb.h"
#include "gentianplank/store/channel.h"

#include <memory>
#include <string>

namespace gentianplank {

class RateController
{
public:
    // The referred objects outlive the controller.
    RateController(ControlLoop &loop, ChannelFactory &channels, FleetBoards &boards,
                   RateLimiter &limiter, std::string self);

    // Waits for the calls that are under way, which end soon by their own deadline.
    ~RateController();

    // Call once, before or after the loop's start.
    void start();

    // Takes over the boards' configuration and member list. Control thread only.
    void update(Instant now);

    // Answers a peer. Blocks for the control thread for a short time; thread-safe.
    vm::v1::LendReply lend(const vm::v1::LendRequest &request);

    // Hands this VM's slices back, and its homes to their successors once the member list says that
    // it leaves. Blocks for a bounded time; for the thread that shuts down.
    void release();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
