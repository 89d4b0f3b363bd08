// The callers' contract: checks each request at the entry and hands it to the router.
#pragma once

#include "gentianplank/daemon/entry/request_authoriser.h"
#include "gentianplank/proto/caller.grpc.pb.h"
#include "gentianplank/statement/statement.h"

#include <memory>
#include <string>

namespace gentianplank {

// `authoriser` and `runner` outlive the service. `secret` signs session tokens.
std::unique_ptr<caller::v1::Caller::Service> makeCallerService(const RequestAuthoriser &authoriser,
                                                               StatementRunner &runner,
                                                               std::string vm, std::string secret);

} // namespace gentianplank
