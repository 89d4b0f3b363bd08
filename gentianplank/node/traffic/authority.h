// Whether a statement may still run for the organisation that its entry VM decided on. It may wait
// for seconds meanwhile: for a primary, in a member's queue, or on the way to a VM that hangs.
//
//     if (auto refusal = authorityRefusal(provenRouting(), statement)) { finish(*refusal); }
#pragma once

#include "gentianplank/configuration/routing.h"
#include "gentianplank/node/traffic/routed_statement.h"

#include <optional>

namespace gentianplank {

// What a VM's configuration says of a statement's organisation.
enum class Authority {
    // The organisation holds the caller's key, or the entry VM has a later configuration.
    Confirmed,
    // The caller's key was withdrawn or belongs to another organisation.
    Superseded,
    // The VM has no configuration that is proven to be in force.
    Unproven,
};

// `proven` is null without a proven configuration. The later one of the two configurations decides,
// this VM's or the entry VM's. A proof ends before a key that was withdrawn meanwhile must be
// refused, so what is confirmed may be sent at once. Thread-safe.
Authority authorityOf(const Routing *proven, const ForwardedStatement &statement);

// Decides again at the entry VM, before each attempt, whether the statement may run for its
// organisation. Returns the outcome for its caller if it may not; otherwise records the revision
// that it was decided by. Thread-safe.
std::optional<StatementOutcome> reauthorise(const Routing *proven, RoutedStatement &request);

// Returns the outcome of a statement that the dispatching VM may not run by its configuration, or
// nullopt. The entry VM decides anew, or another dispatcher has a proof. Thread-safe.
std::optional<StatementOutcome> authorityRefusal(const Routing *proven,
                                                 const ForwardedStatement &statement);

} // namespace gentianplank
