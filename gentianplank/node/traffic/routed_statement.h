// A statement that the router sends to a member, with what its route and session require.
//
//     RoutedStatement request = routedStatement(*routing->routeOf("ledger"));
#pragma once

#include "gentianplank/node/traffic/fleet_view.h"
#include "gentianplank/node/traffic/forwarded_statement.h"
#include "gentianplank/node/traffic/placement.h"
#include "gentianplank/target/zone_balance.h"

#include <optional>
#include <string>

namespace gentianplank {

// A statement with the requirements of its route and session.
struct RoutedStatement
{
    ForwardedStatement statement;
    RouteOrigin origin;
    Consistency consistency = Consistency::Primary;
    // Staleness bound of the route.
    Duration staleness{0};
    // When its session began to handle it.
    BootInstant arrivedAt{};
    Instant deadline{};
    // The session's last commit in the group.
    std::optional<LogPosition> lastCommit;
    Instant lastCommitAt{};
    // For the statement of an open transaction: the VM that dispatches it.
    std::string pinnedVm;
};

// Returns a statement with what its route requires, for the caller's session to complete.
RoutedStatement routedStatement(const DatabaseRoute &route);

// Whether only the group's primary may run the statement. Thread-safe.
bool needsPrimary(const RoutedStatement &request);

// Returns what the adaptive zone policy has to know of the statement. Thread-safe.
ZoneRequest zoneRequestOf(const RoutedStatement &request, Instant now);

// Converts the outcome of a statement's last attempt into the one for its caller. Thread-safe.
StatementOutcome callerOutcome(const ForwardedStatement &statement, StatementOutcome outcome);

} // namespace gentianplank
