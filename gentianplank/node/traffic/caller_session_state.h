// Private state of CallerSession, shared by its sources: caller_session.cc (the connection and the
// session's start and end), caller_session_statements.cc (its statements) and
// caller_session_limits.cc (its limits of memory and time).
#pragma once

#include "gentianplank/node/traffic/caller_session.h"

#include "gentianplank/platform/line_codec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <map>

namespace gentianplank {

inline constexpr size_t CallerReadBytes = 2UL * 1024;
// Retry delay while no configuration is proven, or the VM is short of memory.
inline constexpr Duration UnavailableRetryAfter = std::chrono::seconds(1);

// Returns the reason with the retry delay, or without it if that is zero.
std::string withRetryHint(const std::string &reason, Duration retryAfter);

struct CallerSession::State
{
    State(boost::asio::ip::tcp::socket connection, uint64_t sessionNumber,
          const SessionEnvironment &callbacks)
        : socket(std::move(connection))
        , number(sessionNumber)
        , environment(callbacks)
        , timer(socket.get_executor())
        , buffer(platform::MaxMessageBytes)
        , memory(callbacks.memory, OrdinaryBytes, {[this] { shed(); }, [this] { read(); }})
    {}

    void read();
    void handleRead(boost::system::error_code ec, size_t n);
    bool mayRead();
    void discard(boost::system::error_code ec, size_t n);
    void handleWritten(boost::system::error_code ec);
    // Records the session's bytes, and releases what large messages no longer need.
    void updateMemory();
    void recordStateBytes(const TextStatement &statement);
    bool admitsCopies(const SessionStep &step, const TextStatement &statement);
    void shed();
    // Bounds the time for the refusal and the end of the connection.
    void armRefusalTimer();
    void watchIfIncomplete();
    bool checkMessage(Instant now);
    bool checkAnswer(Instant now);
    void processMessages();
    void handleStart(const platform::CallerMessage &message);
    bool awaitRouting(const platform::CallerMessage &message);
    void handleQuery(const platform::CallerMessage &message);
    void forward(const SessionStep &step, const TextStatement &statement);
    void routeAdmitted(const SessionStep &step, const TextStatement &statement,
                       const DatabaseRoute &route);
    void handleOutcome(const SessionStep &step, const TextStatement &statement,
                       RoutedOutcome result);
    void rejectStatement(const SessionStep &step, const TextStatement &statement, ErrorCode code,
                         const std::string &reason, Duration retryAfter = Duration::zero());
    void answer(std::string lines, std::optional<LogPosition> position);
    void write(std::string bytes, bool thenClose);
    void rollBackAtMember();
    void close(const std::string &reason);

    std::weak_ptr<CallerSession> self;
    boost::asio::ip::tcp::socket socket;
    uint64_t number;
    std::string clientAddress;
    const SessionEnvironment &environment;
    boost::asio::steady_timer timer;
    std::array<char, CallerReadBytes> chunk{};
    platform::LineBuffer buffer;
    std::string writeBuffer;
    // Last of the members that its callbacks use.
    MemoryAccount memory;
    bool isReading = false;
    bool isBusy = false;
    bool isClosed = false;
    // The last answer is being written; the connection is closed after it.
    bool closesAfterWrite = false;
    bool isProcessing = false;
    bool isWriting = false;
    // The caller has closed its sending side; what it sent is still answered.
    bool hasEnded = false;
    // Bytes ignored since the session was refused.
    size_t discarded = 0;
    CloseReason closeReason = CloseReason::Caller;

    // In the environment's list of sessions to watch.
    bool isWatched = false;
    // When the incomplete message began; unset if there is none.
    std::optional<Instant> messageSince;
    // Of the answer being written: bytes that the caller's system has received, and when that last
    // changed.
    uint64_t acknowledged = 0;
    Instant acknowledgedAt{};
    // Upper bound of the bytes of the session's values and prepared statements, and the bound at
    // which it is computed anew.
    size_t stateBytes = 0;
    size_t recountStateAt = OrdinaryBytes;

    bool hasAwaitedRouting = false;
    bool hasStarted = false;
    Instant startedAt{};
    bool hasSentStatement = false;
    std::string database;
    std::string key;
    uint64_t fingerprint = 0;
    // Of the statement in progress, and whether a token of its rate was taken for it.
    std::string organisation;
    bool hasTakenToken = false;
    TextSession session;
    std::map<std::string, Instant> lastCommitAt;
    // Location of the open transaction.
    std::string transactionVm;
    std::string transactionMember;
    uint64_t transactionEpoch = 0;
    std::string transactionGroup;
    std::string transactionOrganisation;
    DatabaseRoute transactionRoute;
    BootInstant queryReceivedAt{};
    Instant queryReceivedAtSteady{};
};

} // namespace gentianplank
