// The daemon's gauges: what it knows of the fleet at the moment of a collection.
#pragma once

#include "gentianplank/daemon/control/fleet_boards.h"
#include "gentianplank/metrics/metrics.h"
#include "gentianplank/target/group_view_registry.h"

#include <functional>

namespace gentianplank {

// The boards outlive the metrics' collections; `isReady` is thread-safe.
void registerFleetGauges(Metrics &metrics, const FleetBoards &boards,
                         const GroupViewRegistry &groups, std::function<bool()> isReady);

} // namespace gentianplank
