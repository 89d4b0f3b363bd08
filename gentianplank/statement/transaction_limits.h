// Limits how long a transaction may be idle or open, since it occupies a connection and a slot.
//
//     TransactionAge age{now, now};
//     if (auto refusal = expiryRefusal(age, view, now)) { ...roll back and report it... }
#pragma once

#include "gentianplank/base/refusal.h"
#include "gentianplank/target/group_view.h"

#include <optional>
#include <string>

namespace gentianplank {

// A transaction without a step for this long is rolled back.
inline constexpr Duration TransactionIdleLimit = std::chrono::seconds(5);

// A transaction that has been open for this long is rolled back.
inline constexpr Duration TransactionLifetime = std::chrono::seconds(30);

// The state of one transaction that the limits apply to. A plain value; not thread-safe.
struct TransactionAge
{
    Instant startedAt{};
    // The end of its last step.
    Instant lastStepAt{};
    // The primary that runs it, and the term of that primary.
    std::string member;
    uint64_t term = 0;
    // The deadline of the caller's call.
    Instant deadline{};
};

// Returns the refusal with which the transaction is rolled back now, always with the outcome
// NotRun; nullopt if it may continue. Deterministic.
std::optional<Refusal> expiryRefusal(const TransactionAge &age, const GroupView &view, Instant now);

} // namespace gentianplank
