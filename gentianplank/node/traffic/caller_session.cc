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
// What a caller may send ahead of its answers.
constexpr size_t MostReadAhead = 2 * platform::LargestMessage;
// Until the configuration says otherwise.
constexpr Duration StartTimeout = std::chrono::seconds(3);
// Sent bytes that a caller does not acknowledge for this long end its session.
constexpr Duration CallerSilence = std::chrono::seconds(10);
// A message of at most this size is read whatever other sessions hold; nearly all are smaller.
constexpr size_t SmallMessage = 16UL * 1024;
constexpr Duration UnprovenHint = std::chrono::seconds(1);
// A caller that has heard that its session started sends its first statement within this, from
// another region too.
constexpr Duration FirstStatementPause = std::chrono::milliseconds(150);
// Session values and prepared statements of one session; more are refused.
constexpr size_t MostNames = 1000;

// Whether a member may have run the statement.
bool wasRun(const StatementOutcome &outcome)
{
    if (outcome.fate == StatementFate::Answered) {
        return !outcome.code || !guaranteesNoEffect(*outcome.code);
    }
    return outcome.fate == StatementFate::Unknown;
}

std::string withHint(const std::string &reason, Duration retryAfter)
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
        , unreadOfAll(callbacks.unread)
        , timer(socket.get_executor())
        , buffer(platform::LargestMessage)
    {}

    // What is pending on the socket's thread may keep a session longer than its environment.
    ~State() { unreadOfAll->used -= unread; }

    void read();
    void countUnread();
    void process();
    void takeStart(const CallerMessage &message);
    bool awaitRouting(const CallerMessage &message);
    void takeQuery(const CallerMessage &message);
    void forward(const SessionStep &step, const TextStatement &statement);
    void admitted(const SessionStep &step, const TextStatement &statement,
                  const DatabaseRoute &route);
    void settled(const SessionStep &step, const TextStatement &statement, RoutedOutcome result);
    void refuse(const SessionStep &step, const TextStatement &statement, ErrorCode code,
                const std::string &reason, Duration retryAfter = Duration::zero());
    void answer(const std::string &lines, std::optional<LogPosition> position);
    void write(std::string bytes, bool thenClose);
    void rollBackAtMember();
    void close(const std::string &reason);

    std::weak_ptr<CallerSession> self;
    asio::ip::tcp::socket socket;
    uint64_t number;
    const SessionEnvironment &environment;
    std::shared_ptr<UnreadBudget> unreadOfAll;
    asio::steady_timer timer;
    std::array<char, ReadBytes> chunk{};
    platform::LineBuffer buffer;
    std::string writing;
    size_t unread = 0;
    bool isReading = false;
    bool isBusy = false;
    bool isClosed = false;
    // Its last answer is on its way.
    bool isEnding = false;
    bool isProcessing = false;

    bool hasWaited = false;
    bool hasStarted = false;
    Instant startedAt{};
    bool hasAsked = false;
    std::string database;
    std::string key;
    std::string organisation;
    TextSession session;
    std::map<std::string, Instant> lastCommitAt;
    // The transaction at its member.
    std::string transactionVm;
    std::string transactionMember;
    uint64_t transactionEpoch = 0;
    std::string transactionGroup;
    DatabaseRoute transactionRoute;
    BootInstant queryAt{};
    Instant queryAtSteady{};
};

void CallerSession::State::read()
{
    if (isReading || isClosed || isEnding || buffer.size() > MostReadAhead) {
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
            state.close(ec == asio::error::eof ? "the caller closed" : ec.message());
            return;
        }
        state.buffer.append({state.chunk.data(), n});
        state.process();
        state.countUnread();
        state.read();
    });
}

// Ends the session when its unread message is large and all sessions together hold too much.
void CallerSession::State::countUnread()
{
    UnreadBudget &budget = *environment.unread;
    const size_t now = isClosed || isEnding ? 0 : buffer.size();
    budget.used = budget.used - unread + now;
    unread = now;
    if (now > SmallMessage && budget.used > budget.most && !isClosed && !isBusy) {
        logEvent("session.refused", {{"session", number},
                                     {"why", "too many bytes of unfinished messages"},
                                     {"own", now},
                                     {"all", budget.used}});
        write(platform::encodeError(
                  ErrorCode::TooBig,
                  withHint("this VM holds too many unfinished messages", UnprovenHint)),
              true);
        budget.used -= unread;
        unread = 0;
    }
}

// Handles the next message while none is being answered.
void CallerSession::State::process()
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
        queryAt = bootNow();
        queryAtSteady = steadyNow();
        const CallerMessage message = platform::decodeCallerLine(*line);
        switch (message.kind) {
        case CallerMessage::Kind::Start:
            takeStart(message);
            break;
        case CallerMessage::Kind::Query:
            takeQuery(message);
            break;
        case CallerMessage::Kind::Bye:
            close("the caller said goodbye");
            break;
        case CallerMessage::Kind::Malformed:
            write(platform::encodeError(ErrorCode::Malformed, "the message is not known"), true);
            break;
        }
    }
    isProcessing = false;
    if (!isClosed && !isBusy && buffer.isTooLong()) {
        write(platform::encodeError(ErrorCode::TooBig, "a message is at most 1 MiB"), true);
    }
}

void CallerSession::State::takeStart(const CallerMessage &message)
{
    if (hasStarted) {
        write(platform::encodeError(ErrorCode::Malformed, "the session has started already"), true);
        return;
    }
    const auto routing = environment.provenRouting();
    const auto refuseStart = [&](ErrorCode code, const std::string &reason) {
        logEvent("session.refused",
                 {{"session", number}, {"database", message.database}, {"why", reason}});
        write(platform::encodeError(code, reason), true);
    };
    if (!routing && awaitRouting(message)) {
        return;
    }
    if (!routing) {
        refuseStart(ErrorCode::Busy,
                    withHint("the configuration is not proven to be in force", UnprovenHint));
        return;
    }
    const DatabaseRoute *route = routing->routeOf(message.database);
    if (route == nullptr) {
        refuseStart(ErrorCode::NoDatabase, "no route has this name");
        return;
    }
    const OrganisationLimits *owner = routing->organisationOfKey(message.key);
    if (owner == nullptr && !route->isPublic) {
        refuseStart(ErrorCode::NoAuthorisation, "the key is not known");
        return;
    }
    timer.cancel();
    hasStarted = true;
    startedAt = queryAtSteady;
    database = message.database;
    key = message.key;
    write(platform::encodeReady(TransactionState::Idle, {}), false);
}

// Lets the session wait while this VM's process starts: the configuration takes some tenths of a
// second, which is less than coming back does.
bool CallerSession::State::awaitRouting(const CallerMessage &message)
{
    if (hasWaited || !environment.awaitRouting) {
        return false;
    }
    const bool isExpected = environment.awaitRouting([owner = self.lock(), message] {
        State &state = *owner->m_state;
        if (state.isClosed) {
            return;
        }
        state.isBusy = false;
        state.takeStart(message);
        state.process();
    });
    hasWaited = isExpected;
    isBusy = isExpected;
    return isExpected;
}

void CallerSession::State::takeQuery(const CallerMessage &message)
{
    if (!hasStarted) {
        write(platform::encodeError(ErrorCode::Malformed, "the session has not started"), true);
        return;
    }
    hasAsked = true;
    const TextStatement &statement = message.statement;
    if (session.values.size() + session.prepared.size() > MostNames) {
        write(platform::encodeError(ErrorCode::TooBig, "the session keeps too many names"), true);
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

// Checks the statement against the configuration and the organisation's rate.
void CallerSession::State::forward(const SessionStep &step, const TextStatement &statement)
{
    const auto routing = environment.provenRouting();
    if (!routing) {
        refuse(step, statement, ErrorCode::Busy, "the configuration is not proven to be in force",
               UnprovenHint);
        return;
    }
    const DatabaseRoute *route =
        step.continuesTransaction ? &transactionRoute : routing->routeOf(database);
    if (route == nullptr) {
        refuse(step, statement, ErrorCode::NoDatabase, "no route has this name");
        return;
    }
    const OrganisationLimits *owner = routing->organisationOfKey(key);
    if (owner == nullptr && !route->isPublic) {
        refuse(step, statement, ErrorCode::NoAuthorisation, "the key is not known");
        return;
    }
    organisation = owner == nullptr ? "-" : owner->name;
    isBusy = true;
    if (owner == nullptr || step.continuesTransaction) {
        admitted(step, statement, *route);
        return;
    }
    environment.rates->admit(organisation, [owner = self.lock(), step, statement,
                                            chosen = *route](bool isAdmitted, Duration retryAfter) {
        State &state = *owner->m_state;
        if (!isAdmitted) {
            state.refuse(step, statement, ErrorCode::Busy, "the organisation's rate is used up",
                         retryAfter);
            return;
        }
        state.admitted(step, statement, chosen);
    });
}

void CallerSession::State::admitted(const SessionStep &step, const TextStatement &statement,
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
    forwarded.readsOnly = session.isReadOnly && session.transaction != SessionTransaction::None;
    forwarded.values = session.values;
    forwarded.prepared = step.prepared;
    forwarded.objective = route.objective;
    forwarded.priority = route.priority;
    request.consistency = route.consistency;
    request.staleness = route.staleness;
    request.arrivedAt = queryAt;
    request.deadline = std::min(queryAtSteady + route.timeout, environment.latestAnswer);
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
                                  owner->m_state->settled(step, statement, std::move(result));
                              });
}

void CallerSession::State::settled(const SessionStep &step, const TextStatement &statement,
                                   RoutedOutcome result)
{
    const StatementOutcome &outcome = result.outcome;
    const bool succeeded = outcome.fate == StatementFate::Answered && !outcome.code;
    const Duration took = steadyNow() - queryAtSteady;
    logEvent("statement", {{"id", statement.requestId},
                           {"session", number},
                           {"database", database},
                           {"organisation", organisation},
                           {"vm", result.vm},
                           {"member", result.member},
                           {"epoch", result.epoch},
                           {"took_ms", toMilliseconds(took)},
                           {"added_us", (took - outcome.atMember).count()},
                           {"fate", static_cast<int>(outcome.fate)},
                           {"outcome", succeeded ? "done" : outcome.reason}});
    environment.report({succeeded, outcome.code, took, took - outcome.atMember});
    applyMemberReply(session, step, {succeeded, outcome.state});
    if (step.continuesTransaction && outcome.fate != StatementFate::Answered) {
        rollBackAtMember();
    }
    if (!step.continuesTransaction && !wasRun(outcome)) {
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
    if (outcome.fate == StatementFate::Answered) {
        answer(outcome.lines, outcome.position);
    } else {
        answer(platform::encodeError(outcome.code.value_or(ErrorCode::Unknown),
                                     withHint(outcome.reason, outcome.retryAfter)),
               {});
    }
    process();
    read();
}

// Refuses a statement that no member has seen.
void CallerSession::State::refuse(const SessionStep &step, const TextStatement &statement,
                                  ErrorCode code, const std::string &reason, Duration retryAfter)
{
    logEvent("refused", {{"id", statement.requestId},
                         {"session", number},
                         {"database", database},
                         {"organisation", organisation},
                         {"why", reason},
                         {"retry_after_ms", toMilliseconds(retryAfter)}});
    const Duration took = steadyNow() - queryAtSteady;
    environment.report({false, code, took, took});
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
        answer(platform::encodeError(code, withHint(reason, retryAfter)), {});
        if (wasBusy) {
            process();
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
    isEnding = thenClose;
    writing = std::move(bytes);
    asio::async_write(socket, asio::buffer(writing),
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
                          state.process();
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
    prepareSocket(m_state->socket, CallerSilence);
    const auto routing = m_state->environment.provenRouting();
    m_state->timer.expires_after(routing ? routing->limits.headerTimeout : StartTimeout);
    m_state->timer.async_wait([weak = weak_from_this()](error_code ec) {
        auto owner = weak.lock();
        if (!ec && owner && !owner->m_state->hasStarted) {
            owner->m_state->close("the caller did not start a session in time");
        }
    });
    m_state->read();
}

bool CallerSession::closeIfIdle(const std::string &reason)
{
    const bool isNew = !m_state->hasAsked && steadyNow() - m_state->startedAt < FirstStatementPause;
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
