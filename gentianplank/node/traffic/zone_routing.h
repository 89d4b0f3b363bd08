// What the traffic thread knows for balancing reads over zones, and the traffic by distance: paths,
// shares of each group, and this VM's part of the link between regions.
//
//     ZoneRouting zones(ownPlace, options);
//     const auto context = zones.context(view, group, request, now); // for assessMembers
//     const PathUse use = zones.begin(view, vm, statement, now);
//     zones.finish(use, outcome, now);
#pragma once

#include "gentianplank/link/link_budget.h"
#include "gentianplank/node/traffic/fleet_view.h"
#include "gentianplank/node/traffic/forwarded_statement.h"
#include "gentianplank/node/traffic/member_selection.h"
#include "gentianplank/target/zone_balance.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>

namespace gentianplank {

// The least bandwidth that the link between regions has on any known deployment, in Mbit/s.
inline constexpr double DefaultRegionLinkMbps = 30;

struct ZoneOptions
{
    ZonePolicy policy = ZonePolicy::Fixed;
    // This VM, and the bandwidth of its own link in Mbit/s; 0 if unknown.
    std::string vm = {};
    double vmLinkMbps = 0;
    // Bandwidth of the link between regions, which the VMs of a region divide evenly.
    double regionLinkMbps = DefaultRegionLinkMbps;
};

// Inputs of assessMembers for the adaptive policy. Valid until the next call of ZoneRouting.
struct ZoneContext
{
    const ZoneBalance &balance;
    const PathTimes &paths;
    ZoneRequest request;
    // This VM, and where other VMs are.
    const std::string &vm;
    std::function<const Place *(const std::string &vm)> placeOf;
};

// One statement on its way.
struct PathUse
{
    // The farther one of the two hops, and the hop to the dispatcher; it is unset if this VM
    // dispatches itself.
    Distance distance = Distance::SameZone;
    std::optional<Distance> toDispatcher;
    Instant sentAt{};
    size_t bytes = 0;
};

// Moves the member that the shares choose to the front of `eligible`, which is in the order of the
// constant costs, and records in each member what it was chosen by. Members with costs besides
// distance, load and role, such as those that lag, keep the rank that these costs give them.
void applyZoneBalance(std::span<MemberAssessment> eligible, const SelectionContext &context);

// Not thread-safe.
class ZoneRouting
{
public:
    ZoneRouting(Place ownPlace, ZoneOptions options);

    const ZoneOptions &options() const { return m_options; }

    // Returns the inputs for a read of the group, or null with the fixed policy.
    std::unique_ptr<ZoneContext> context(const std::shared_ptr<const FleetView> &view,
                                         const std::string &group, const ZoneRequest &request,
                                         Instant now);

    // Adjusts the group's shares by an assessment that used context(). Call it for each read.
    void adjust(const std::string &group, std::span<const MemberAssessment> members, Instant now);

    // Returns the shares by which an assessment that used context() was made; nothing with the
    // fixed policy.
    std::optional<ClassShares> shares(const std::string &group,
                                      std::span<const MemberAssessment> members) const;

    // Record a statement that is sent, and its end.
    PathUse begin(const std::shared_ptr<const FleetView> &view, const std::string &vm,
                  const ForwardedStatement &statement, Instant now);
    void finish(PathUse &use, const StatementOutcome &outcome, Instant now);

private:
    struct GroupState
    {
        ZoneBalance balance;
        ClassShares loggedShares{};
    };

    void applyView(const std::shared_ptr<const FleetView> &view, Instant now);
    const Place *placeOf(const std::string &vm);
    void logShares(const std::string &group, GroupState &state,
                   std::span<const ZoneMember> members) const;

    Place m_ownPlace;
    ZoneOptions m_options;
    std::shared_ptr<const FleetView> m_view;
    // Places of the dispatchers used under this view. They are few, so they are searched when they
    // are first used rather than indexing the whole fleet with every view.
    std::unordered_map<std::string, const Place *> m_places;
    std::map<std::string, GroupState, std::less<>> m_groups;
    PathTimes m_paths;
    LinkBudget m_link;
};

} // namespace gentianplank
