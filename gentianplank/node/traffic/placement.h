// Where statements may go: home regions, and the dispatchers of cold members.
//
//     const HomeRegions homes = homesOf(view, origin, organisation);
//     const auto vm = selectDispatcher(ranked, homes, ownName, isUsable);
#pragma once

#include "gentianplank/node/traffic/fleet_view.h"
#include "gentianplank/node/traffic/forwarded_statement.h"
#include "gentianplank/node/traffic/member_selection.h"
#include "gentianplank/target/home_regions.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// The route that a statement was accepted by.
struct RouteOrigin
{
    std::string database;
    // The route's home regions then; they apply if the configuration no longer has the route.
    std::vector<std::string> homeRegions;
};

// Returns the home regions that the view's configuration gives a statement. Thread-safe.
HomeRegions homesOf(const FleetView &view, const RouteOrigin &origin,
                    std::string_view organisation);

// Returns the first usable VM of `ranked` that a statement may reach: one in its home regions, or
// this VM (`ownName`), which also dispatches where no other one can. Only the first of all VMs may
// send to a cold member. Nullopt if no VM is usable. Thread-safe.
std::optional<std::string>
selectDispatcher(std::span<const VmRecord *const> ranked, const HomeRegions &homes,
                 const std::string &ownName, bool isMemberCold,
                 const std::function<bool(const std::string &vm)> &isUsable);

// Whether the view's member is cold. Thread-safe.
bool isCold(const FleetView &view, const std::string &member, BootInstant now);

// Returns the refusal of a statement that no member may serve, so that it need not wait; nullopt if
// a member may serve it now or soon. Thread-safe.
std::optional<StatementOutcome> lastingRefusal(std::span<const MemberAssessment> members,
                                               bool needsPrimary);

// Whether the member and the dispatching VM of an open transaction may see its further statements.
// Thread-safe.
bool mayContinueTransaction(const FleetView &view, const HomeRegions &homes,
                            const std::string &member, const std::string &vm,
                            const std::string &ownName);

} // namespace gentianplank
