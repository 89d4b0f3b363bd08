// Runs the statements of all callers at one member: the member's slots, its scarce connections,
// the queue before them, and the transactions that are pinned to a connection.
//
//     auto dispatcher = std::make_shared<MemberDispatcher>(ioContext, environment, entry, limits);
//     dispatcher->execute(statement, onOutcome);
#pragma once

#include "gentianplank/node/traffic/forwarded_statement.h"
#include "gentianplank/target/member_entry.h"
#include "gentianplank/target/position_history.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace gentianplank {

// What a dispatcher asks and tells the VM around it.
struct DispatcherEnvironment
{
    // Whether the member may be used as the primary of the record with this epoch, now.
    std::function<bool(const std::string &group, uint64_t epoch)> mayUsePrimary;
    // The member can't be reached.
    std::function<void(const MemberEntry &member, const std::string &reason)> onUnreachable;
    // The primary of the epoch answered, and its right to lead stood when it did.
    std::function<void(const std::string &group, uint64_t epoch, const PositionSample &sample)>
        onPrimaryPosition;
    // The lowest position that covers every commit of the group acknowledged before `before`.
    std::function<std::optional<LogPosition>(const std::string &group, BootInstant before)>
        positionCovering;
    // A connection to a member was opened.
    std::function<void()> onConnectionOpened;
};

struct DispatcherLimits
{
    // Connections to the member from all callers together.
    uint32_t connections = 1;
    // The way to the member and back takes longer than its usual statement.
    bool isInOtherRegion = false;
    // A transaction without statements for this long is rolled back.
    Duration transactionIdle = std::chrono::seconds(3);

    bool operator==(const DispatcherLimits &) const = default;
};

// Not thread-safe: use it on its I/O context's thread.
class MemberDispatcher : public std::enable_shared_from_this<MemberDispatcher>
{
public:
    MemberDispatcher(boost::asio::io_context &ioContext, DispatcherEnvironment environment,
                     MemberEntry entry, DispatcherLimits limits);
    ~MemberDispatcher();

    void update(const MemberEntry &entry, const DispatcherLimits &limits);

    // Runs a statement. `done` is called once, later or at once.
    void execute(ForwardedStatement statement, OutcomeHandler done);

    // Rolls back a session's transaction, if there is one.
    void endTransaction(const SessionId &session);

    // Rolls back all transactions of an origin that is gone.
    void endTransactionsOfOrigin(uint64_t origin);

    // Whether statements or transactions run here by right of the member's lead, under an epoch
    // below `epoch`.
    bool usesPrimaryBeforeEpoch(uint64_t epoch) const;

    // Breaks those off. What ran last of each has an unknown outcome, or none.
    void abortPrimaryUseBeforeEpoch(uint64_t epoch);

    // Whether reads came of late that need positions of the group's primary.
    bool needsPrimaryPositions() const;

    // Whether this VM is the one that should dispatch for the member. Another one gives its idle
    // connections up.
    void setPreferredDispatcher(bool isPreferred);

    // Closes all connections; the member is gone.
    void close(const std::string &reason);

    // Ends what has waited or rested too long. Call it about every 50 ms.
    void tick();

    // Whether statements wait, run, or hold a transaction open.
    bool isIdle() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
