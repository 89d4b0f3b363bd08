// The typed refusal that every request ends with when it isn't served.
//
//     return tl::unexpected(refuse(Reason::NoPrimary, Fate::NotRun, "no primary for group a"));
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/proto/common.pb.h"

#include <grpcpp/support/status.h>

#include <string>
#include <string_view>

namespace gentianplank {

// What is known of a request's effect.
enum class ExecutionOutcome {
    Ran,
    NotRun,
    Unknown,
};

// Why a request was refused.
enum class Reason {
    InvalidRequest,
    KeyRefused,
    RouteRefused,
    RateLimited,
    Overloaded,
    Deadline,
    NoPrimary,
    NotReplicated,
    NoMembershipLease,
    ShuttingDown,
    TargetFailed,
    StatementFailed,
    Conflict,
    StoreUnavailable,
    Aborted,
};

// A refusal: its reason, the request's fate, a sentence for people, and when to come back.
struct Refusal
{
    Reason reason = Reason::InvalidRequest;
    ExecutionOutcome outcome = ExecutionOutcome::NotRun;
    std::string message;
    // Zero means that there is no hint.
    Duration retryAfter{0};
    // The VM that refused; filled in where the refusal leaves the VM.
    std::string vm;
    // No VM said it: the answer was lost on the way, or the VM could not be reached. Not sent.
    bool isTransportError = false;
};

// Builds a refusal without a hint.
Refusal refuse(Reason reason, ExecutionOutcome outcome, std::string_view message);

// Builds a refusal that tells the caller when to come back.
Refusal refuse(Reason reason, ExecutionOutcome outcome, std::string_view message,
               Duration retryAfter);

// Names a reason or a fate in lower case with underscores, such as "rate_limited".
std::string_view toString(Reason reason);
std::string_view toString(ExecutionOutcome outcome);

// Converts a refusal to a gRPC status whose details hold a serialized common.v1.Refusal.
grpc::Status toStatus(const Refusal &refusal);

// Converts a failed gRPC status to a refusal. A status without details comes from the transport:
// its fate is `transportOutcome`, since only the caller knows whether the request may have run.
Refusal fromStatus(const grpc::Status &status, ExecutionOutcome transportOutcome);

} // namespace gentianplank
