// A caller's connection: reads statements, routes them to members and writes the answers.
//
//     auto session = std::make_shared<CallerSession>(std::move(socket), number, environment);
//     session->start();
#pragma once

#include "gentianplank/base/memory_budget.h"
#include "gentianplank/node/traffic/fleet_view.h"
#include "gentianplank/node/traffic/rate_exchange.h"
#include "gentianplank/node/traffic/statement_router.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace gentianplank {

class CallerSession;

// Outcome and timing of a statement, for the metrics.
struct StatementReport
{
    bool succeeded = false;
    std::optional<ErrorCode> code;
    Duration duration{0};
    // Part of `duration` that was not spent waiting for the member.
    Duration overhead{0};
};

// Why a session ended, for the metrics.
enum class CloseReason {
    // The caller ended it, or its connection failed.
    Caller,
    // The session was refused, or a message was invalid.
    Refused,
    // A message, or the session's values and prepared statements, exceeded their limit.
    TooBig,
    // No START, or not the whole of a message, came in time.
    MessageTimeout,
    // The caller did not read an answer.
    AnswerTimeout,
    // The session's share of the memory was needed for others.
    Memory,
    // This VM shuts down.
    Shutdown,
};
inline constexpr size_t CloseReasonCount = 7;
std::string_view nameOf(CloseReason reason);

// Dependencies of the sessions. Must outlive every open session.
struct SessionEnvironment
{
    // Returns null while no configuration is proven to be in force.
    std::function<std::shared_ptr<const Routing>()> provenRouting;
    // Calls `resume` once a configuration is proven or the startup grace is over. Returns false,
    // and never calls it, if no configuration is expected soon.
    std::function<bool(std::function<void()> resume)> awaitRouting;
    std::shared_ptr<MemoryBudget> memory;
    // Calls checkProgress() about every second while it returns true.
    std::function<void(std::weak_ptr<CallerSession>)> watch;
    // Latest time for a statement's answer: a VM that shuts down exits soon after it.
    Instant answerDeadline = Instant::max();
    StatementRouter *router = nullptr;
    RateExchange *rates = nullptr;
    std::function<void(const std::string &vm, const std::string &member, uint64_t session)>
        endTransaction;
    std::function<void(const StatementReport &)> report;
    std::function<void(uint64_t session, CloseReason reason)> onClosed;
};

// Not thread-safe: use it on its socket's thread.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(boost::asio::ip::tcp::socket socket, uint64_t number,
                  const SessionEnvironment &environment);
    ~CallerSession();

    // Starts reading. Closes the connection if the caller does not start a session in time.
    void start();

    // Closes the session if it is idle outside a transaction, and returns whether it did. A session
    // that has just started stays open for a moment, since its first statement is on its way.
    bool closeIfIdle(const std::string &reason);

    // Rolls back a transaction that has no statement in progress. The caller gets the error with
    // its next statement.
    void abortTransaction(const std::string &reason);

    // Closes the session if a message was begun and not ended in time, or if the caller has stopped
    // reading an answer. Returns whether one of them is still to be expected.
    bool checkProgress(Instant now);

    // The IP address of the caller.
    const std::string &clientAddress() const;

    // Whether the session has started and has no statement, transaction or partial message.
    bool isIdle() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
