// Implements the caller contract: authorises each request, then runs it with a statement runner.
#pragma once

#include "gentianplank/daemon/entry/request_authoriser.h"
#include "gentianplank/proto/caller.grpc.pb.h"
#include "gentianplank/statement/statement.h"

#include <memory>
#include <string>

namespace gentianplank {

// `authoriser` and `runner` outlive the service. `vm` is the name of this VM, which replies and
// refusals carry. `secret` signs session tokens.
std::unique_ptr<caller::v1::Caller::Service> makeCallerService(const RequestAuthoriser &authoriser,
                                                               StatementRunner &runner,
                                                               std::string vm, std::string secret);

} // namespace gentianplank
