// The daemon's gauges of the fleet's state, sampled at each collection.
#pragma once

#include "gentianplank/daemon/control/fleet_state.h"
#include "gentianplank/metrics/metrics.h"
#include "gentianplank/target/group_view_registry.h"

#include <functional>

namespace gentianplank {

// Registers the gauges. `fleetState` and `groups` outlive the collections of `metrics`. `isReady`
// is called on the collecting thread and must be thread-safe.
void registerFleetGauges(Metrics &metrics, const FleetState &fleetState,
                         const GroupViewRegistry &groups, std::function<bool()> isReady);

} // namespace gentianplank
