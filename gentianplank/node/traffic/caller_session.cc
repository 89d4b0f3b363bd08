#include "gentianplank/node/traffic/caller_session.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/http/endpoint.h"
#include "gentianplank/platform/line_codec.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace gentianplank {

namespace asio = boost::asio;
using boost::system::error_code;
using platform::CallerMessage;

namespace {

constexpr size_t ReadBytes = 2UL * 1024;
// Buffered bytes of one caller above which its connection is not read.
constexpr size_t MaxReadAheadBytes = 2 * platform::MaxMessageBytes;
// Time to start a session while no configuration is known.
constexpr Duration StartTimeout = std::chrono::seconds(3);
// TCP user timeout: the connection ends when sent data stays unacknowledged for this long.
constexpr Duration UnacknowledgedDataTimeout = std::chrono::seconds(10);
// Messages up to this size are accepted regardless of the memory held by other sessions; nearly all
// are smaller.
constexpr size_t SmallMessageBytes = 16UL * 1024;
constexpr Duration UnavailableRetryAfter = std::chrono::seconds(1);
// A caller sends its first statement within this time of its session's start, also from another
// region.
constexpr Duration FirstStatementGrace = std::chrono::milliseconds(150);
// Limit on the session values and prepared statements of one session together.
constexpr size_t MaxSessionNames = 1000;

// Whether a member may have executed the statement.
bool mayHaveRun(const StatementOutcome &outcome)
{
    if (outcome.execution == StatementExecution::Answered) {
        return !outcome.code || !guaranteesNoEffect(*outcome.code);
    }
    return outcome.execution == StatementExecution::Unknown;
}

std::string withRetryHint(const std::string &reason, Duration retryAfter)
{
    if (retryAfter <= Duration::zero()) {
        return reason;
    }
    return reason + "; retry after " + std::to_string(toMilliseconds(retryAfter)) + " ms";
}

} // namespace

struct CallerSession::State
{
    State(asio::ip::tcp::socket connection, uint64_t sessionNumber,
          const SessionEnvironment &callbacks)
        : socket(std::move(connection))
        , number(sessionNumber)
        , environment(callbacks)
        , unreadBudget(callbacks.unreadBudget)
        , timer(socket.get_executor())
        , buffer(platform::MaxMessageBytes)
    {}

    // The budget is shared, as a pending socket operation may keep the session longer than its
    // environment.
    ~State() { unreadBudget->used -= unreadBytes; }

    void read();
    void enforceUnreadBudget();
    void processMessages();
    void handleStart(const CallerMessage &message);
    bool awaitRouting(const CallerMessage &message);
    void handleQuery(const CallerMessage &message);
    void forward(const SessionStep &step, const TextStatement &statement);
    void routeAdmitted(const SessionStep &step, const TextStatement &statement,
                       const DatabaseRoute &route);
    void handleOutcome(const SessionStep &step, const TextStatement &statement,
                       RoutedOutcome result);
    void rejectStatement(const SessionStep &step, const TextStatement &statement, ErrorCode code,
                         const std::string &reason, Duration retryAfter = Duration::zero());
    void answer(const std::string &lines, std::optional<LogPosition> position);
    void write(std::string bytes, bool thenClose);
    void rollBackAtMember();
    void close(const std::string &reason);

    std::weak_ptr<CallerSession> self;
    asio::ip::tcp::socket socket;
    uint64_t number;
    const SessionEnvironment &environment;
    std::shared_ptr<UnreadBudget> unreadBudget;
    asio::steady_timer timer;
    std::array<char, ReadBytes> chunk{};
    platform::LineBuffer buffer;
    std::string writeBuffer;
    size_t unreadBytes = 0;
    bool isReading = false;
    bool isBusy = false;
    bool isClosed = false;
    // The last answer is being written; the connection is closed after it.
    bool closesAfterWrite = false;
    bool isProcessing = false;

    bool hasAwaitedRouting = false;
    bool hasStarted = false;
    Instant startedAt{};
    bool hasSentStatement = false;
    std::string database;
    std::string key;
    std::string organisation;
    TextSession session;
    std::map<std::string, Instant> lastCommitAt;
    // Location of the open transaction.
    std::string transactionVm;
    std::string transactionMember;
    uint64_t transactionEpoch = 0;
    std::string transactionGroup;
    DatabaseRoute transactionRoute;
    BootInstant queryReceivedAt{};
    Instant queryReceivedAtSteady{};
};

void CallerSession::State::read()
{
    if (isReading || isClosed || closesAfterWrite || buffer.size() > MaxReadAheadBytes) {
        return;
    }
    isReading = true;
    socket.async_read_some(asio::buffer(chunk), [owner = self.lock()](error_code ec, size_t n) {
        State &state = *owner->m_state;
        state.isReading = false;
        if (state.isClosed) {
            return;
        }
        if (ec) {
            state.close(ec == asio::error::eof ? "connection closed by the caller" : ec.message());
            return;
        }
        state.buffer.append({state.chunk.data(), n});
        state.processMessages();
        state.enforceUnreadBudget();
        state.read();
    });
}

// Closes the session if its unprocessed message is large and all sessions together exceed the
// budget.
void CallerSession::State::enforceUnreadBudget()
{
    UnreadBudget &budget = *environment.unreadBudget;
    const size_t now = isClosed || closesAfterWrite ? 0 : buffer.size();
    budget.used = budget.used - unreadBytes + now;
    unreadBytes = now;
    if (now > SmallMessageBytes && budget.used > budget.limit && !isClosed && !isBusy) {
        logEvent("session.refused", {{"session", number},
                                     {"why", "unprocessed messages exceed the VM's memory limit"},
                                     {"own", now},
                                     {"all", budget.used}});
        write(platform::encodeError(
                  ErrorCode::TooBig,
                  withRetryHint("unprocessed messages exceed this VM's memory limit",
                                UnavailableRetryAfter)),
              true);
        budget.used -= unreadBytes;
        unreadBytes = 0;
    }
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
    if (!isClosed && !isBusy && buffer.isTooLong()) {
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
    const OrganisationLimits *owner = routing->organisationOfKey(message.key);
    if (owner == nullptr && !route->isPublic) {
        rejectStart(ErrorCode::NoAuthorisation, "the API key is unknown or was withdrawn");
        return;
    }
    timer.cancel();
    hasStarted = true;
    startedAt = queryReceivedAtSteady;
    database = message.database;
    key = message.key;
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

void CallerSession::State::handleQuery(const CallerMessage &message)
{
    if (!hasStarted) {
        write(platform::encodeError(ErrorCode::Malformed, "QUERY before START"), true);
        return;
    }
    hasSentStatement = true;
    const TextStatement &statement = message.statement;
    if (session.values.size() + session.prepared.size() > MaxSessionNames) {
        write(platform::encodeError(ErrorCode::TooBig,
                                    "the session exceeds 1000 values and prepared statements"),
              true);
        return;
    }
    const SessionStep step = handleStatement(session, statement);
    if (step.needsRollback) {
        rollBackAtMember();
    }
    switch (step.action) {
    case SessionAction::ReplyDone:
        answer(platform::encodeDone(), {});
        return;
    case SessionAction::ReplyError:
        answer(platform::encodeError(step.code, step.reason), {});
        return;
    case SessionAction::Forward:
        forward(step, statement);
        return;
    }
}

// Checks the statement against the configuration and requests admission at the organisation's rate.
void CallerSession::State::forward(const SessionStep &step, const TextStatement &statement)
{
    const auto routing = environment.provenRouting();
    if (!routing) {
        rejectStatement(step, statement, ErrorCode::Busy,
                        "no configuration is proven to be in force on this VM",
                        UnavailableRetryAfter);
        return;
    }
    const DatabaseRoute *route =
        step.continuesTransaction ? &transactionRoute : routing->routeOf(database);
    if (route == nullptr) {
        rejectStatement(step, statement, ErrorCode::NoDatabase,
                        "no route serves this database name");
        return;
    }
    const OrganisationLimits *owner = routing->organisationOfKey(key);
    if (owner == nullptr && !route->isPublic) {
        rejectStatement(step, statement, ErrorCode::NoAuthorisation,
                        "the API key is unknown or was withdrawn");
        return;
    }
    organisation = owner == nullptr ? "-" : owner->name;
    isBusy = true;
    if (owner == nullptr || step.continuesTransaction) {
        routeAdmitted(step, statement, *route);
        return;
    }
    environment.rates->admit(organisation, [owner = self.lock(), step, statement,
                                            chosen = *route](bool isAdmitted, Duration retryAfter) {
        State &state = *owner->m_state;
        if (!isAdmitted) {
            state.rejectStatement(step, statement, ErrorCode::Busy,
                                  "the organisation's rate limit is exhausted", retryAfter);
            return;
        }
        state.routeAdmitted(step, statement, chosen);
    });
}

void CallerSession::State::routeAdmitted(const SessionStep &step, const TextStatement &statement,
                                         const DatabaseRoute &route)
{
    RoutedStatement request;
    ForwardedStatement &forwarded = request.statement;
    forwarded.session = {0, number};
    forwarded.group = route.group;
    forwarded.organisation = organisation;
    forwarded.requestId = statement.requestId;
    forwarded.text = step.prepared ? statement.arguments : statement.text;
    forwarded.kind = step.kind;
    forwarded.opensTransaction = step.opensTransaction;
    forwarded.continuesTransaction = step.continuesTransaction;
    forwarded.isReadOnly = session.isReadOnly && session.transaction != SessionTransaction::None;
    forwarded.values = session.values;
    forwarded.prepared = step.prepared;
    forwarded.latencyObjective = route.objective;
    forwarded.priority = route.priority;
    request.consistency = route.consistency;
    request.staleness = route.staleness;
    request.arrivedAt = queryReceivedAt;
    request.deadline = std::min(queryReceivedAtSteady + route.timeout, environment.answerDeadline);
    const auto commit = session.lastCommits.find(route.group);
    if (commit != session.lastCommits.end()) {
        request.lastCommit = commit->second;
        request.lastCommitAt = lastCommitAt[route.group];
    }
    if (step.continuesTransaction) {
        forwarded.member = transactionMember;
        forwarded.epoch = transactionEpoch;
        request.pinnedVm = transactionVm;
    } else {
        transactionRoute = route;
        transactionGroup = route.group;
    }
    environment.router->route(std::move(request),
                              [owner = self.lock(), step, statement](RoutedOutcome result) {
                                  owner->m_state->handleOutcome(step, statement, std::move(result));
                              });
}

void CallerSession::State::handleOutcome(const SessionStep &step, const TextStatement &statement,
                                         RoutedOutcome result)
{
    const StatementOutcome &outcome = result.outcome;
    const bool succeeded = outcome.execution == StatementExecution::Answered && !outcome.code;
    const Duration duration = steadyNow() - queryReceivedAtSteady;
    logEvent("statement", {{"id", statement.requestId},
                           {"session", number},
                           {"database", database},
                           {"organisation", organisation},
                           {"vm", result.vm},
                           {"member", result.member},
                           {"epoch", result.epoch},
                           {"took_ms", toMilliseconds(duration)},
                           {"added_us", (duration - outcome.timeAtMember).count()},
                           {"fate", static_cast<int>(outcome.execution)},
                           {"outcome", succeeded ? "done" : outcome.reason}});
    environment.report({succeeded, outcome.code, duration, duration - outcome.timeAtMember});
    applyMemberReply(session, step, {succeeded, outcome.state});
    if (step.continuesTransaction && outcome.execution != StatementExecution::Answered) {
        rollBackAtMember();
    }
    if (!step.continuesTransaction && !mayHaveRun(outcome)) {
        environment.rates->refundToken(organisation);
    }
    if (session.transaction == SessionTransaction::Running && !result.member.empty()) {
        transactionVm = result.vm;
        transactionMember = result.member;
        transactionEpoch = result.epoch;
    }
    if (isClosed) {
        if (session.transaction == SessionTransaction::Running) {
            rollBackAtMember();
        }
        return;
    }
    if (succeeded && outcome.position && step.kind != ForwardKind::Read &&
        !(step.kind == ForwardKind::Write && session.transaction != SessionTransaction::None)) {
        session.lastCommits[transactionGroup] = *outcome.position;
        lastCommitAt[transactionGroup] = steadyNow();
    }
    isBusy = false;
    if (outcome.execution == StatementExecution::Answered) {
        answer(outcome.lines, outcome.position);
    } else {
        answer(platform::encodeError(outcome.code.value_or(ErrorCode::Unknown),
                                     withRetryHint(outcome.reason, outcome.retryAfter)),
               {});
    }
    processMessages();
    read();
}

// Rejects a statement that was not sent to any member.
void CallerSession::State::rejectStatement(const SessionStep &step, const TextStatement &statement,
                                           ErrorCode code, const std::string &reason,
                                           Duration retryAfter)
{
    logEvent("refused", {{"id", statement.requestId},
                         {"session", number},
                         {"database", database},
                         {"organisation", organisation},
                         {"why", reason},
                         {"retry_after_ms", toMilliseconds(retryAfter)}});
    const Duration duration = steadyNow() - queryReceivedAtSteady;
    environment.report({false, code, duration, duration});
    if (step.continuesTransaction) {
        rollBackAtMember();
    }
    if (step.kind == ForwardKind::Commit) {
        session.transaction = SessionTransaction::None;
    } else {
        failTransaction(session);
    }
    const bool wasBusy = isBusy;
    isBusy = false;
    if (!isClosed) {
        answer(platform::encodeError(code, withRetryHint(reason, retryAfter)), {});
        if (wasBusy) {
            processMessages();
            read();
        }
    }
}

void CallerSession::State::answer(const std::string &lines, std::optional<LogPosition> position)
{
    write(lines + platform::encodeReady(stateOf(session), position), false);
}

void CallerSession::State::write(std::string bytes, bool thenClose)
{
    if (isClosed) {
        return;
    }
    isBusy = true;
    closesAfterWrite = thenClose;
    writeBuffer = std::move(bytes);
    asio::async_write(socket, asio::buffer(writeBuffer),
                      [owner = self.lock(), thenClose](error_code ec, size_t) {
                          State &state = *owner->m_state;
                          if (state.isClosed) {
                              return;
                          }
                          if (ec || thenClose) {
                              state.close(ec ? ec.message() : "refused");
                              return;
                          }
                          state.isBusy = false;
                          state.processMessages();
                          state.read();
                      });
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
    if (session.transaction == SessionTransaction::Running && !isBusy) {
        logEvent("transaction.abandoned", {{"session", number}, {"why", reason}});
        rollBackAtMember();
        session.transaction = SessionTransaction::Failed;
    }
    environment.onClosed(number);
}

CallerSession::CallerSession(asio::ip::tcp::socket socket, uint64_t number,
                             const SessionEnvironment &environment)
    : m_state(std::make_unique<State>(std::move(socket), number, environment))
{}

CallerSession::~CallerSession() = default;

void CallerSession::start()
{
    m_state->self = weak_from_this();
    configureSocket(m_state->socket, UnacknowledgedDataTimeout);
    const auto routing = m_state->environment.provenRouting();
    m_state->timer.expires_after(routing ? routing->limits.headerTimeout : StartTimeout);
    m_state->timer.async_wait([weak = weak_from_this()](error_code ec) {
        auto owner = weak.lock();
        if (!ec && owner && !owner->m_state->hasStarted) {
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

bool CallerSession::isIdle() const
{
    return !m_state->isBusy && m_state->hasStarted && m_state->buffer.size() == 0 &&
           m_state->session.transaction == SessionTransaction::None;
}

} // namespace gentianplank
