#include "gentianplank/daemon/daemon_metrics.h"

namespace gentianplank {

namespace {

using Values = std::vector<LabelledValue>;

Values groupTerms(const FleetState &fleetState, const GroupViewRegistry &groups)
{
    Values values;
    for (const auto &it : fleetState.configuration.get()->document().targets()) {
        if (const auto view = groups.view(it.group())) {
            values.push_back({{{"group", it.group()}}, static_cast<double>(highestTerm(*view))});
        }
    }
    return values;
}

Values groupPrimaries(const FleetState &fleetState, const GroupViewRegistry &groups)
{
    Values values;
    for (const auto &it : fleetState.configuration.get()->document().targets()) {
        const auto view = groups.view(it.group());
        const bool hasPrimary = view != nullptr && primaryOf(*view) != nullptr;
        values.push_back({{{"group", it.group()}}, hasPrimary ? 1.0 : 0.0});
    }
    return values;
}

Values connectedMembers(const FleetState &fleetState, const GroupViewRegistry &groups)
{
    Values values;
    for (const auto &it : fleetState.configuration.get()->document().targets()) {
        const auto view = groups.view(it.group());
        if (view == nullptr) {
            continue;
        }
        for (const MemberView &member : view->members) {
            values.push_back(
                {{{"group", it.group()}, {"member", member.name}}, member.connected ? 1.0 : 0.0});
        }
    }
    return values;
}

Values vmCounts(const FleetState &fleetState)
{
    double reachable = 0;
    double unreachable = 0;
    double leaving = 0;
    for (const VmInfo &it : fleetState.vms.get()->vms) {
        ++(it.leaving ? leaving : it.reachable ? reachable : unreachable);
    }
    return {{{{"state", "reachable"}}, reachable},
            {{{"state", "unreachable"}}, unreachable},
            {{{"state", "leaving"}}, leaving}};
}

} // namespace

void registerFleetGauges(Metrics &metrics, const FleetState &fleetState,
                         const GroupViewRegistry &groups, std::function<bool()> isReady)
{
    metrics.sample("gentianplank_ready", "1 while the VM takes new requests.", {},
                   [isReady = std::move(isReady)] { return isReady() ? 1.0 : 0.0; });
    metrics.sample("gentianplank_standing", "1 while the VM has standing.", {}, [&fleetState] {
        return fleetState.membershipLease.isValid(steadyNow()) ? 1.0 : 0.0;
    });
    metrics.sample(
        "gentianplank_configuration_revision", "The revision in force at the VM.", {},
        [&fleetState] { return static_cast<double>(fleetState.configuration.get()->revision()); });
    metrics.sampleEach("gentianplank_vms", "VMs of the fleet by state, as this one sees them.",
                       [&fleetState] { return vmCounts(fleetState); });
    metrics.sampleEach("gentianplank_group_term",
                       "The highest term known of each group; it rises at each failover.",
                       [&fleetState, &groups] { return groupTerms(fleetState, groups); });
    metrics.sampleEach("gentianplank_group_has_primary", "1 while a primary is known.",
                       [&fleetState, &groups] { return groupPrimaries(fleetState, groups); });
    metrics.sampleEach("gentianplank_member_connected", "1 while the member is watched.",
                       [&fleetState, &groups] { return connectedMembers(fleetState, groups); });
}

} // namespace gentianplank
