// The callers' contract: checks each request at the entry and hands it to the router.
#pragma once

#include "gentianplank/daemon/entry/entry.h"
#include "gentianplank/proto/caller.grpc.pb.h"
#include "gentianplank/statement/statement.h"

#include <memory>
#include <string>

namespace gentianplank {

// `entry` and `runner` outlive the service. `secret` signs session tokens.
std::unique_ptr<caller::v1::Caller::Service>
makeCallerService(const Entry &entry, StatementRunner &runner, std::string vm, std::string secret);

} // namespace gentianplank
