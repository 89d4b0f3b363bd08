// Implements the VM-to-VM contract: runs forwarded statements and passes control messages to their
// handlers.
#pragma once

#include "gentianplank/proto/vm.grpc.pb.h"
#include "gentianplank/statement/statement.h"

#include <functional>
#include <memory>

namespace gentianplank {

// Handlers of the peers' calls. They are called from several threads at once. A call whose handler
// is not set returns UNIMPLEMENTED.
struct PeerHandlers
{
    // Outlives the service.
    StatementRunner &runner;
    std::function<vm::v1::HeartbeatReply(const vm::v1::HeartbeatRequest &)> heartbeat;
    std::function<vm::v1::WitnessReply(const vm::v1::WitnessRequest &)> witness;
    std::function<vm::v1::FetchChangesReply(const vm::v1::FetchChangesRequest &)> fetchChanges;
    std::function<vm::v1::LendReply(const vm::v1::LendRequest &)> lend;
    std::function<vm::v1::ObserveReply(const vm::v1::ObserveRequest &)> observe;
};

std::unique_ptr<vm::v1::Peer::Service> makePeerService(PeerHandlers handlers);

} // namespace gentianplank
