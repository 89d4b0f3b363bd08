// Control calls to other VMs. Calls don't block; each result runs on the control thread.
//
//     PeerClients peers(loop, channels);
//     peers.heartbeat(address, request, timeout, [](const auto &reply) { ... });
#pragma once

#include "gentianplank/daemon/control/control_loop.h"
#include "gentianplank/proto/vm.pb.h"
#include "gentianplank/store/channel.h"

#include <functional>
#include <memory>
#include <string>

namespace gentianplank {

// Thread-safe. The destructor cancels outstanding calls and waits for them.
class PeerClients
{
public:
    // Gets nullptr when the call failed.
    template <typename Reply>
    using Then = std::function<void(const Reply *reply)>;

    PeerClients(ControlLoop &loop, ChannelFactory &channels);
    ~PeerClients();

    void heartbeat(const std::string &address, const vm::v1::HeartbeatRequest &request,
                   Duration timeout, Then<vm::v1::HeartbeatReply> then);
    void witness(const std::string &address, const vm::v1::WitnessRequest &request,
                 Duration timeout, Then<vm::v1::WitnessReply> then);
    void fetchChanges(const std::string &address, const vm::v1::FetchChangesRequest &request,
                      Duration timeout, Then<vm::v1::FetchChangesReply> then);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
