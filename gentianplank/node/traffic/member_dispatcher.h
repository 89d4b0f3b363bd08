// Executes the statements of all callers at one member. Manages the member's execution slots, its
// limited connections, a fair queue, and the transactions that are pinned to connections.
//
//     auto dispatcher = std::make_shared<MemberDispatcher>(ioContext, environment, entry, limits);
//     dispatcher->execute(statement, onOutcome);
#pragma once

#include "gentianplank/base/memory_budget.h"
#include "gentianplank/configuration/routing.h"
#include "gentianplank/node/traffic/forwarded_statement.h"
#include "gentianplank/target/cold_allowance.h"
#include "gentianplank/target/evacuation.h"
#include "gentianplank/target/member_entry.h"
#include "gentianplank/target/member_health.h"
#include "gentianplank/target/position_history.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace gentianplank {

// Whether the member is cold, and what this VM may send to it meanwhile.
struct ColdPhase
{
    bool isCold = false;
    // When this VM may first use the member's allowance; nullopt if it may not.
    std::optional<BootInstant> usableFrom;
    ColdLimit limit;
};

// Dependencies and callbacks of a dispatcher.
struct DispatcherEnvironment
{
    // Whether the primary of the group's record with this epoch may be used now.
    std::function<bool(const std::string &group, uint64_t epoch)> mayUsePrimary;
    // Whether a statement may be sent now to the member, which is in `zone`. Granted if empty.
    std::function<SendPermission(const std::string &zone, bool isOpenTransaction)> sendPermission;
    // Returns null while no configuration is proven to be in force on this VM. May be empty: then
    // the entry VMs' decisions are not checked.
    std::function<std::shared_ptr<const Routing>()> provenRouting;
    // Returns the member's cold phase. Called only if its limits have one.
    std::function<ColdPhase()> coldPhase;
    // Called when the member can't be reached.
    std::function<void(const MemberEntry &member, const std::string &reason)> onUnreachable;
    // Called while the member fails or hangs most of the statements that need it as the primary.
    // May be empty.
    std::function<void(const MemberEntry &member, const Evidence &evidence)> onPrimaryFailing;
    // Called with a log position from an answer of the epoch's primary, for which this VM held a
    // valid lease when the answer came.
    std::function<void(const std::string &group, uint64_t epoch, const PositionSample &sample)>
        onPrimaryPosition;
    // Returns the lowest known position that covers every commit of the group acknowledged before
    // `before`.
    std::function<std::optional<LogPosition>(const std::string &group, BootInstant before)>
        positionCovering;
    // Called when a connection to the member is opened.
    std::function<void()> onConnectionOpened;
    // For the answers of the member; may be null.
    std::shared_ptr<MemoryBudget> memory;
};

struct DispatcherLimits
{
    // Maximum connections to the member, shared by all callers.
    uint32_t connections = 1;
    // The member is in another region: the round trip takes longer than a typical statement.
    bool isInOtherRegion = false;
    // A transaction without statements for this long is rolled back.
    Duration transactionIdle = std::chrono::seconds(3);

    // The member may be cold.
    bool hasColdPhase = false;

    bool operator==(const DispatcherLimits &) const = default;
};

// Not thread-safe: use it on its I/O context's thread.
class MemberDispatcher : public std::enable_shared_from_this<MemberDispatcher>
{
public:
    MemberDispatcher(boost::asio::io_context &ioContext, DispatcherEnvironment environment,
                     MemberEntry entry, DispatcherLimits limits);
    ~MemberDispatcher();

    // Applies changed member data and limits. Closes all connections if the member has a new
    // address or was restarted.
    void update(const MemberEntry &entry, const DispatcherLimits &limits);

    // Executes a statement. Calls `done` once, possibly before it returns.
    void execute(ForwardedStatement statement, OutcomeHandler done);

    // Rolls back a session's transaction, if there is one.
    void endTransaction(const SessionId &session);

    // Rolls back all transactions of an origin whose link was closed.
    void endTransactionsOfOrigin(uint64_t origin);

    // Whether statements or transactions use the member as the primary of an epoch below `epoch`.
    bool usesPrimaryBeforeEpoch(uint64_t epoch) const;

    // Closes the connections of these statements and transactions. A statement that was sent ends
    // with an unknown outcome.
    void abortPrimaryUseBeforeEpoch(uint64_t epoch);

    // Whether recent reads needed log positions of the group's primary.
    bool needsPrimaryPositions() const;

    // Sets whether this VM is the preferred dispatcher of the member. If not, idle connections are
    // closed after a short time.
    void setPreferredDispatcher(bool isPreferred);

    // Closes all connections. `reason` is logged.
    void close(const std::string &reason);

    // Answers all statements that are queued or running and closes all connections, since the
    // member is gone. Statements that were not sent end as not run.
    void retire(const std::string &reason);

    // Expires queued statements and idle transactions, and probes a silent member. Call it at least
    // every 50 ms.
    void tick();

    // Whether no statement is queued or running and no transaction is open.
    bool isIdle() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
