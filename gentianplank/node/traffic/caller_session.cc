#include "gentianplank/node/traffic/caller_session_state.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/http/endpoint.h"

#include <boost/asio/write.hpp>

namespace gentianplank {

namespace asio = boost::asio;
using boost::system::error_code;
using platform::CallerMessage;

namespace {

// Time to start a session while no configuration is known.
constexpr Duration StartTimeout = std::chrono::seconds(3);
// TCP user timeout: the connection ends when sent data stays unacknowledged for this long.
constexpr Duration UnacknowledgedDataTimeout = std::chrono::seconds(10);
// A caller sends its first statement within this time of its session's start, also from another
// region.
constexpr Duration FirstStatementGrace = std::chrono::milliseconds(150);

} // namespace

std::string withRetryHint(const std::string &reason, Duration retryAfter)
{
    if (retryAfter <= Duration::zero()) {
        return reason;
    }
    return reason + "; retry after " + std::to_string(toMilliseconds(retryAfter)) + " ms";
}

void CallerSession::State::read()
{
    if (hasEnded && !isBusy) {
        close("connection closed by the caller");
    }
    if (isReading || isClosed || hasEnded || !mayRead()) {
        return;
    }
    isReading = true;
    socket.async_read_some(asio::buffer(chunk), [owner = self.lock()](error_code ec, size_t n) {
        owner->m_state->isReading = false;
        owner->m_state->handleRead(ec, n);
    });
}

void CallerSession::State::handleRead(error_code ec, size_t n)
{
    if (isClosed) {
        return;
    }
    if (closesAfterWrite) {
        discard(ec, n);
        return;
    }
    if (ec && ec != asio::error::eof) {
        close(ec.message());
        return;
    }
    hasEnded = ec == asio::error::eof;
    buffer.append({chunk.data(), n});
    processMessages();
    watchIfIncomplete();
    read();
}

// Handles buffered messages in order until one is in progress.
void CallerSession::State::processMessages()
{
    if (isProcessing) {
        return;
    }
    isProcessing = true;
    while (!isBusy && !isClosed) {
        const auto line = buffer.next();
        if (!line) {
            break;
        }
        queryReceivedAt = bootNow();
        queryReceivedAtSteady = steadyNow();
        const CallerMessage message = platform::decodeCallerLine(*line);
        switch (message.kind) {
        case CallerMessage::Kind::Start:
            handleStart(message);
            break;
        case CallerMessage::Kind::Query:
            handleQuery(message);
            break;
        case CallerMessage::Kind::Bye:
            close("session ended by the caller");
            break;
        case CallerMessage::Kind::Malformed:
            write(platform::encodeError(ErrorCode::Malformed,
                                        "unknown message; expected START, QUERY or BYE"),
                  true);
            break;
        }
    }
    isProcessing = false;
    updateMemory();
    if (!isClosed && !isBusy && buffer.isTooLong()) {
        closeReason = CloseReason::TooBig;
        write(platform::encodeError(ErrorCode::TooBig, "message exceeds 1 MiB"), true);
    }
}

void CallerSession::State::handleStart(const CallerMessage &message)
{
    if (hasStarted) {
        write(platform::encodeError(ErrorCode::Malformed,
                                    "START in a session that has already started"),
              true);
        return;
    }
    const auto routing = environment.provenRouting();
    const auto rejectStart = [&](ErrorCode code, const std::string &reason) {
        logEvent("session.refused",
                 {{"session", number}, {"database", message.database}, {"why", reason}});
        write(platform::encodeError(code, reason), true);
    };
    if (!routing && awaitRouting(message)) {
        return;
    }
    if (!routing) {
        rejectStart(ErrorCode::Busy,
                    withRetryHint("no configuration is proven to be in force on this VM",
                                  UnavailableRetryAfter));
        return;
    }
    const DatabaseRoute *route = routing->routeOf(message.database);
    if (route == nullptr) {
        rejectStart(ErrorCode::NoDatabase, "no route serves this database name");
        return;
    }
    const OrganisationLimits *holder = routing->organisationOfKey(message.key);
    if (!organisationOfCaller(*route, holder)) {
        rejectStart(ErrorCode::NoAuthorisation, "the API key is unknown or was withdrawn");
        return;
    }
    timer.cancel();
    hasStarted = true;
    startedAt = queryReceivedAtSteady;
    database = message.database;
    key = message.key;
    fingerprint = keyFingerprint(key);
    stateBytes = database.size() + key.size();
    memory.setOwner(holder == nullptr ? "" : holder->name, clientAddress);
    write(platform::encodeReady(TransactionState::Idle, {}), false);
}

// Makes the session wait while this process starts. Reading the configuration takes some tenths of
// a second, which is less than a retry by the caller.
bool CallerSession::State::awaitRouting(const CallerMessage &message)
{
    if (hasAwaitedRouting || !environment.awaitRouting) {
        return false;
    }
    const bool isExpected = environment.awaitRouting([owner = self.lock(), message] {
        State &state = *owner->m_state;
        if (state.isClosed) {
            return;
        }
        state.isBusy = false;
        state.handleStart(message);
        state.processMessages();
    });
    hasAwaitedRouting = isExpected;
    isBusy = isExpected;
    return isExpected;
}

void CallerSession::State::answer(std::string lines, std::optional<LogPosition> position)
{
    write(lines.append(platform::encodeReady(stateOf(session), position)), false);
}

void CallerSession::State::write(std::string bytes, bool thenClose)
{
    if (isClosed) {
        return;
    }
    isBusy = true;
    isWriting = true;
    closesAfterWrite = thenClose;
    writeBuffer = std::move(bytes);
    updateMemory();
    asio::async_write(
        socket, asio::buffer(writeBuffer),
        [owner = self.lock()](error_code ec, size_t) { owner->m_state->handleWritten(ec); });
    if (thenClose) {
        closeReason = closeReason == CloseReason::Caller ? CloseReason::Refused : closeReason;
        armRefusalTimer();
        read();
    }
}

void CallerSession::State::handleWritten(error_code ec)
{
    if (isClosed) {
        return;
    }
    isWriting = false;
    if (ec) {
        // The system gives up at about the same time as checkAnswer().
        closeReason = ec == asio::error::timed_out ? CloseReason::AnswerTimeout : closeReason;
        close(ec.message());
        return;
    }
    if (closesAfterWrite) {
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
        discard({}, 0);
        return;
    }
    isBusy = false;
    processMessages();
    read();
}

void CallerSession::State::rollBackAtMember()
{
    environment.endTransaction(transactionVm, transactionMember, number);
}

void CallerSession::State::close(const std::string &reason)
{
    if (isClosed) {
        return;
    }
    isClosed = true;
    timer.cancel();
    error_code ec;
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    socket.close(ec);
    updateMemory();
    // The outcome of a statement in progress ends the transaction when it comes.
    const bool hasStatement = isBusy && !isWriting && !closesAfterWrite;
    if (session.transaction == SessionTransaction::Running && !hasStatement) {
        logEvent("transaction.abandoned", {{"session", number}, {"why", reason}});
        rollBackAtMember();
        session.transaction = SessionTransaction::Failed;
    }
    environment.onClosed(number, closeReason);
}

CallerSession::CallerSession(asio::ip::tcp::socket socket, uint64_t number,
                             const SessionEnvironment &environment)
    : m_state(std::make_unique<State>(std::move(socket), number, environment))
{}

CallerSession::~CallerSession() = default;

void CallerSession::start()
{
    m_state->self = weak_from_this();
    error_code ignored;
    m_state->clientAddress = m_state->socket.remote_endpoint(ignored).address().to_string();
    m_state->memory.setOwner("", m_state->clientAddress);
    configureSocket(m_state->socket, UnacknowledgedDataTimeout);
    const auto routing = m_state->environment.provenRouting();
    m_state->timer.expires_after(routing ? routing->limits.headerTimeout : StartTimeout);
    m_state->timer.async_wait([weak = weak_from_this()](error_code ec) {
        auto owner = weak.lock();
        if (!ec && owner && !owner->m_state->hasStarted && !owner->m_state->closesAfterWrite) {
            owner->m_state->closeReason = CloseReason::MessageTimeout;
            owner->m_state->close("no START within the timeout");
        }
    });
    m_state->read();
}

bool CallerSession::closeIfIdle(const std::string &reason)
{
    const bool isNew =
        !m_state->hasSentStatement && steadyNow() - m_state->startedAt < FirstStatementGrace;
    if (!isIdle() || isNew) {
        return false;
    }
    m_state->closeReason = CloseReason::Shutdown;
    m_state->close(reason);
    return true;
}

void CallerSession::abortTransaction(const std::string &reason)
{
    if (m_state->isBusy || m_state->session.transaction == SessionTransaction::None ||
        m_state->session.transaction == SessionTransaction::Failed) {
        return;
    }
    logEvent("transaction.aborted", {{"session", m_state->number}, {"why", reason}});
    if (m_state->session.transaction == SessionTransaction::Running) {
        m_state->rollBackAtMember();
    }
    failTransaction(m_state->session);
}

const std::string &CallerSession::clientAddress() const
{
    return m_state->clientAddress;
}

bool CallerSession::isIdle() const
{
    return !m_state->isBusy && m_state->hasStarted && m_state->buffer.size() == 0 &&
           m_state->session.transaction == SessionTransaction::None;
}

} // namespace gentianplank
