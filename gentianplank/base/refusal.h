// The typed error of a request that is not served.
//
//     return tl::unexpected(
//         refuse(Reason::NoPrimary, ExecutionOutcome::NotRun, "no primary for group a"));
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/proto/common.pb.h"

#include <grpcpp/support/status.h>

#include <string>
#include <string_view>

namespace gentianplank {

// Whether a request is known to have taken effect.
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

// A refusal: its reason, whether the request took effect, a message for people, and a retry hint.
struct Refusal
{
    Reason reason = Reason::InvalidRequest;
    ExecutionOutcome outcome = ExecutionOutcome::NotRun;
    std::string message;
    // The delay after which a retry may succeed; zero means that there is no hint.
    Duration retryAfter{0};
    // The VM that refused; set where the refusal leaves that VM.
    std::string vm;
    // No VM sent the refusal: the answer was lost, or the VM could not be reached. Not sent on the
    // wire.
    bool isTransportError = false;
};

// Builds a refusal without a retry hint. Thread-safe.
Refusal refuse(Reason reason, ExecutionOutcome outcome, std::string_view message);

// Builds a refusal with a retry hint. Thread-safe.
Refusal refuse(Reason reason, ExecutionOutcome outcome, std::string_view message,
               Duration retryAfter);

// Returns the outer name of a reason or an outcome, such as "rate_limited".
std::string_view toString(Reason reason);
std::string_view toString(ExecutionOutcome outcome);

// Converts a refusal to a gRPC status whose details hold a serialized common.v1.Refusal.
grpc::Status toStatus(const Refusal &refusal);

// Converts a failed gRPC status to a refusal. A status without details comes from the transport and
// gets `transportOutcome`, since only the caller knows whether the request may have run.
Refusal fromStatus(const grpc::Status &status, ExecutionOutcome transportOutcome);

} // namespace gentianplank
