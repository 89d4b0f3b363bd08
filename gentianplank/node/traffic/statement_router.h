// The course of one statement from its session's side: which member, through which VM, what to try
// again, and what the caller may be told.
//
//     router.route(statement, [](RoutedOutcome outcome) { ... });
#pragma once

#include "gentianplank/node/traffic/fleet_view.h"
#include "gentianplank/node/traffic/forwarded_statement.h"

#include <memory>
#include <span>

namespace gentianplank {

// A statement with what its route and session ask.
struct RoutedStatement
{
    ForwardedStatement statement;
    Consistency consistency = Consistency::Primary;
    Duration staleness{0};
    // When its first byte was read, or that of its transaction.
    BootInstant arrivedAt{};
    Instant deadline{};
    // The session's last commit in the group.
    std::optional<LogPosition> lastCommit;
    Instant lastCommitAt{};
    // Of a transaction that goes on: the VM that dispatches it.
    std::string pinnedVm;
};

struct RoutedOutcome
{
    StatementOutcome outcome;
    // Where the statement ran, for a transaction's next one.
    std::string vm;
    std::string member;
    uint64_t epoch = 0;
};

struct RouterEnvironment
{
    std::function<std::shared_ptr<const FleetView>()> view;
    // Nothing when the group's primary may not be used now.
    std::function<std::optional<GroupRecord>(const std::string &group)> usablePrimary;
    // The VMs that may dispatch for a member, the best first.
    std::function<std::span<const VmRecord *const>(const std::string &member)> dispatchers;
    std::function<bool(const std::string &vm)> isReachable;
    std::function<void(const std::string &vm, const ForwardedStatement &, OutcomeHandler)> execute;
};

// Not thread-safe.
class StatementRouter
{
public:
    StatementRouter(Place ownPlace, RouterEnvironment environment);
    ~StatementRouter();

    // Calls `done` once, with an outcome that the caller may be told as it is.
    void route(RoutedStatement statement, std::function<void(RoutedOutcome)> done);

    // Tries what waits for a primary again: what the VM believes has changed.
    void retryWaiting();

    // Refuses what has waited too long. Call it about every 50 ms.
    void tick();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
