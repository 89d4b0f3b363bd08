// The connection of one caller: reads its statements, has them run, and answers.
//
//     auto session = std::make_shared<CallerSession>(std::move(socket), number, environment);
//     session->start();
#pragma once

#include "gentianplank/node/traffic/fleet_view.h"
#include "gentianplank/node/traffic/rate_exchange.h"
#include "gentianplank/node/traffic/statement_router.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace gentianplank {

// What became of a statement, for counters.
struct StatementReport
{
    bool succeeded = false;
    std::optional<ErrorCode> code;
    Duration duration{0};
    // Of it, what was not the member's own answer and the way to it.
    Duration overhead{0};
};

// Bytes that callers sent and that are not handled yet, over all sessions of the VM.
struct UnreadBudget
{
    size_t used = 0;
    // Above this, a session with a large unread message is ended, so that the VM keeps its memory.
    size_t limit = 0;
};

// What sessions need of the VM around them. Outlives them.
struct SessionEnvironment
{
    // Nothing while the VM has no configuration that is proven to be in force.
    std::function<std::shared_ptr<const Routing>()> provenRouting;
    // Calls back when there is a proven configuration, or after a moment without one. False, and
    // no call, where none is expected soon.
    std::function<bool(std::function<void()> resume)> awaitRouting;
    std::shared_ptr<UnreadBudget> unreadBudget;
    // Statements have their answers by then, for this VM ends soon after.
    Instant answerDeadline = Instant::max();
    StatementRouter *router = nullptr;
    RateExchange *rates = nullptr;
    std::function<void(const std::string &vm, const std::string &member, uint64_t session)>
        endTransaction;
    std::function<void(const StatementReport &)> report;
    std::function<void(uint64_t session)> onClosed;
};

// Not thread-safe: use it on its socket's thread.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(boost::asio::ip::tcp::socket socket, uint64_t number,
                  const SessionEnvironment &environment);
    ~CallerSession();

    void start();

    // Closes the session if it rests outside a transaction. True when it did. One that has just
    // started gets a moment, since its first statement is on its way.
    bool closeIfIdle(const std::string &reason);

    // Rolls back a transaction that waits for its caller; the caller learns it when it goes on.
    void abortTransaction(const std::string &reason);

    bool isIdle() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
