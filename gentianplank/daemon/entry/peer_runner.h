// Runs statements at another VM over the VM-to-VM contract, and the conversions of that contract.
#pragma once

#include "gentianplank/proto/vm.pb.h"
#include "gentianplank/statement/statement.h"

#include <grpcpp/channel.h>

#include <memory>

namespace gentianplank {

// The deadline travels as the call's own; everything else in the message.
void toWire(const StatementRequest &request, vm::v1::ForwardRequest *wire);
StatementRequest fromWire(const vm::v1::ForwardRequest &wire, Instant deadline);

void toWire(const StatementAnswer &answer, vm::v1::ForwardReply *wire);
StatementAnswer fromWire(const vm::v1::ForwardReply &wire);

// Converts between the monotonic clock and gRPC's deadlines.
std::chrono::system_clock::time_point toWallTime(Instant deadline);
Instant toInstant(std::chrono::system_clock::time_point deadline);

// A runner over one peer's channel.
std::unique_ptr<StatementRunner> makePeerRunner(const std::shared_ptr<grpc::Channel> &channel);

} // namespace gentianplank
