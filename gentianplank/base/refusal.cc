#include "gentianplank/base/refusal.h"

#include <array>

namespace gentianplank {

namespace {

struct ReasonTraits
{
    Reason reason;
    std::string_view name;
    common::v1::RefusalReason wire;
    grpc::StatusCode code;
};

constexpr std::array ReasonTable{
    ReasonTraits{Reason::InvalidRequest, "invalid_request",
                 common::v1::REFUSAL_REASON_INVALID_REQUEST, grpc::StatusCode::INVALID_ARGUMENT},
    ReasonTraits{Reason::KeyRefused, "key_refused", common::v1::REFUSAL_REASON_KEY_REFUSED,
                 grpc::StatusCode::UNAUTHENTICATED},
    ReasonTraits{Reason::RouteRefused, "route_refused", common::v1::REFUSAL_REASON_ROUTE_REFUSED,
                 grpc::StatusCode::PERMISSION_DENIED},
    ReasonTraits{Reason::RateLimited, "rate_limited", common::v1::REFUSAL_REASON_RATE_LIMITED,
                 grpc::StatusCode::RESOURCE_EXHAUSTED},
    ReasonTraits{Reason::Overloaded, "overloaded", common::v1::REFUSAL_REASON_OVERLOADED,
                 grpc::StatusCode::RESOURCE_EXHAUSTED},
    ReasonTraits{Reason::Deadline, "deadline", common::v1::REFUSAL_REASON_DEADLINE,
                 grpc::StatusCode::DEADLINE_EXCEEDED},
    ReasonTraits{Reason::NoPrimary, "no_primary", common::v1::REFUSAL_REASON_NO_PRIMARY,
                 grpc::StatusCode::UNAVAILABLE},
    ReasonTraits{Reason::NotReplicated, "not_replicated", common::v1::REFUSAL_REASON_NOT_REPLICATED,
                 grpc::StatusCode::UNAVAILABLE},
    ReasonTraits{Reason::NoMembershipLease, "no_standing", common::v1::REFUSAL_REASON_NO_STANDING,
                 grpc::StatusCode::UNAVAILABLE},
    ReasonTraits{Reason::ShuttingDown, "shutting_down", common::v1::REFUSAL_REASON_SHUTTING_DOWN,
                 grpc::StatusCode::UNAVAILABLE},
    ReasonTraits{Reason::TargetFailed, "target_failed", common::v1::REFUSAL_REASON_TARGET_FAILED,
                 grpc::StatusCode::UNAVAILABLE},
    ReasonTraits{Reason::StatementFailed, "statement_failed",
                 common::v1::REFUSAL_REASON_STATEMENT_FAILED,
                 grpc::StatusCode::FAILED_PRECONDITION},
    ReasonTraits{Reason::Conflict, "conflict", common::v1::REFUSAL_REASON_CONFLICT,
                 grpc::StatusCode::ABORTED},
    ReasonTraits{Reason::StoreUnavailable, "store_unavailable",
                 common::v1::REFUSAL_REASON_STORE_UNAVAILABLE, grpc::StatusCode::UNAVAILABLE},
    ReasonTraits{Reason::Aborted, "aborted", common::v1::REFUSAL_REASON_ABORTED,
                 grpc::StatusCode::ABORTED},
};

const ReasonTraits &traitsOf(Reason reason)
{
    for (const ReasonTraits &it : ReasonTable) {
        if (it.reason == reason) {
            return it;
        }
    }
    return ReasonTable.front();
}

common::v1::Fate toWire(ExecutionOutcome outcome)
{
    switch (outcome) {
    case ExecutionOutcome::Ran:
        return common::v1::FATE_RAN;
    case ExecutionOutcome::NotRun:
        return common::v1::FATE_NOT_RUN;
    case ExecutionOutcome::Unknown:
        break;
    }
    return common::v1::FATE_UNKNOWN;
}

ExecutionOutcome fromWire(common::v1::Fate outcome)
{
    switch (outcome) {
    case common::v1::FATE_RAN:
        return ExecutionOutcome::Ran;
    case common::v1::FATE_NOT_RUN:
        return ExecutionOutcome::NotRun;
    default:
        return ExecutionOutcome::Unknown;
    }
}

Reason fromWire(common::v1::RefusalReason reason)
{
    for (const ReasonTraits &it : ReasonTable) {
        if (it.wire == reason) {
            return it.reason;
        }
    }
    return Reason::TargetFailed;
}

} // namespace

Refusal refuse(Reason reason, ExecutionOutcome outcome, std::string_view message)
{
    return refuse(reason, outcome, message, Duration::zero());
}

Refusal refuse(Reason reason, ExecutionOutcome outcome, std::string_view message,
               Duration retryAfter)
{
    return Refusal{reason, outcome, std::string(message), retryAfter, {}, false};
}

std::string_view toString(Reason reason)
{
    return traitsOf(reason).name;
}

std::string_view toString(ExecutionOutcome outcome)
{
    switch (outcome) {
    case ExecutionOutcome::Ran:
        return "ran";
    case ExecutionOutcome::NotRun:
        return "not_run";
    case ExecutionOutcome::Unknown:
        break;
    }
    return "unknown";
}

grpc::Status toStatus(const Refusal &refusal)
{
    common::v1::Refusal details;
    details.set_reason(traitsOf(refusal.reason).wire);
    details.set_fate(toWire(refusal.outcome));
    details.set_message(refusal.message);
    details.set_retry_after_ms(static_cast<uint32_t>(toMilliseconds(refusal.retryAfter)));
    details.set_vm(refusal.vm);
    return {traitsOf(refusal.reason).code, refusal.message, details.SerializeAsString()};
}

Refusal fromStatus(const grpc::Status &status, ExecutionOutcome transportOutcome)
{
    common::v1::Refusal details;
    const bool hasDetails = !status.error_details().empty() &&
                            details.ParseFromString(status.error_details()) &&
                            details.reason() != common::v1::REFUSAL_REASON_UNSPECIFIED;
    if (!hasDetails) {
        const bool hasTimedOut = status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
        Refusal transportError = refuse(hasTimedOut ? Reason::Deadline : Reason::TargetFailed,
                                        transportOutcome, status.error_message());
        transportError.isTransportError = true;
        return transportError;
    }
    return Refusal{fromWire(details.reason()),
                   fromWire(details.fate()),
                   details.message(),
                   std::chrono::milliseconds(details.retry_after_ms()),
                   details.vm(),
                   false};
}

} // namespace gentianplank
