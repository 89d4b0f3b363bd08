// Asynchronous control calls to other VMs. Each callback runs on the control thread.
//
//     PeerClients peers(loop, channels);
//     peers.heartbeat(address, request, timeout, [](const auto *reply) { ... });
#pragma once

#include "gentianplank/daemon/control/control_loop.h"
#include "gentianplank/proto/vm.pb.h"
#include "gentianplank/store/channel.h"

#include <functional>
#include <memory>
#include <string>

namespace gentianplank {

// Thread-safe. The destructor cancels outstanding calls and waits for them; calls that start
// meanwhile are dropped without a callback.
class PeerClients
{
public:
    // Receives nullptr when the call failed.
    template <typename Reply>
    using ReplyCallback = std::function<void(const Reply *reply)>;

    PeerClients(ControlLoop &loop, ChannelFactory &channels);
    ~PeerClients();

    void heartbeat(const std::string &address, const vm::v1::HeartbeatRequest &request,
                   Duration timeout, ReplyCallback<vm::v1::HeartbeatReply> onReply);
    void witness(const std::string &address, const vm::v1::WitnessRequest &request,
                 Duration timeout, ReplyCallback<vm::v1::WitnessReply> onReply);
    void fetchChanges(const std::string &address, const vm::v1::FetchChangesRequest &request,
                      Duration timeout, ReplyCallback<vm::v1::FetchChangesReply> onReply);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
