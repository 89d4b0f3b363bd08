// A statement runner that forwards to another VM, and conversions for the VM-to-VM contract.
#pragma once

#include "gentianplank/proto/vm.pb.h"
#include "gentianplank/statement/statement.h"

#include <grpcpp/channel.h>

#include <memory>

namespace gentianplank {

// The deadline isn't part of the message: it is sent as the deadline of the gRPC call.
void toWire(const StatementRequest &request, vm::v1::ForwardRequest *wire);
StatementRequest fromWire(const vm::v1::ForwardRequest &wire, Instant deadline);

void toWire(const StatementAnswer &answer, vm::v1::ForwardReply *wire);
StatementAnswer fromWire(const vm::v1::ForwardReply &wire);

// Convert between the monotonic clock and the wall clock of gRPC deadlines.
std::chrono::system_clock::time_point toWallTime(Instant deadline);
Instant toInstant(std::chrono::system_clock::time_point deadline);

// Returns a thread-safe runner that forwards to the peer at the other end of the channel.
std::unique_ptr<StatementRunner> makePeerRunner(const std::shared_ptr<grpc::Channel> &channel);

} // namespace gentianplank
