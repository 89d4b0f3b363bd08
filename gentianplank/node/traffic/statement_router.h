// Routes a session's statements: chooses the member and the dispatching VM, retries where that is
// safe, and determines the outcome for the caller.
//
//     router.route(statement, [](RoutedOutcome outcome) { ... });
#pragma once

#include "gentianplank/node/traffic/fleet_view.h"
#include "gentianplank/node/traffic/routed_statement.h"
#include "gentianplank/node/traffic/zone_routing.h"

#include <map>
#include <memory>
#include <span>

namespace gentianplank {

// What the next attempt of a statement would do, and from what.
struct AttemptPlan
{
    bool needsPrimary = false;
    std::optional<GroupRecord> usablePrimary;
    // As assessMembers() returns them: the first one is chosen if it is eligible.
    std::vector<MemberAssessment> members;
    // Set by StatementRouter::plan(): the shares that the adaptive zone policy draws by.
    std::optional<ClassShares> shares;
};

struct RoutedOutcome
{
    StatementOutcome outcome;
    // Where the statement was executed, for the next statement of its transaction.
    std::string vm;
    std::string member;
    uint64_t epoch = 0;
};

struct RouterEnvironment
{
    std::function<std::shared_ptr<const FleetView>()> view;
    // Returns the group's record, or nullopt if its primary may not be used now.
    std::function<std::optional<GroupRecord>(const std::string &group)> usablePrimary;
    // Returns the VMs that may dispatch for a member, most preferred first.
    std::function<std::span<const VmRecord *const>(const std::string &member)> dispatchers;
    std::function<bool(const std::string &vm)> isReachable;
    // Returns null while no configuration is proven to be in force on this VM. May be empty: then
    // statements are not checked again after their session.
    std::function<std::shared_ptr<const Routing>()> provenRouting = nullptr;
    std::function<void(const std::string &vm, const ForwardedStatement &, OutcomeHandler)> execute;
    // This VM, which dispatches where no VM in the home regions can be reached.
    std::string ownName = {};
    // Optional: a statement over this distance has ended, with the bytes sent and received.
    std::function<void(Distance distance, size_t bytes)> onPathUsed = nullptr;
};

// Not thread-safe.
class StatementRouter
{
public:
    StatementRouter(Place ownPlace, RouterEnvironment environment, ZoneOptions zones = {});
    ~StatementRouter();

    // Calls `done` once, possibly before it returns, with an outcome that may be reported to the
    // caller unchanged.
    void route(RoutedStatement statement, std::function<void(RoutedOutcome)> done);

    // What this VM's statements of the last seconds showed about the members of a group.
    std::map<std::string, Evidence> evidenceOf(const std::string &group) const;

    // Returns what route() would do with the statement now. Sends nothing.
    AttemptPlan plan(const RoutedStatement &statement) const;

    // Retries waiting statements. Call it when the fleet view has changed.
    void retryWaiting();

    // Retries waiting statements and rejects overdue ones. Call it at least every 50 ms.
    void tick();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
