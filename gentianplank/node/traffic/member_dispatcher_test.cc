#include "gentianplank/node/traffic/dispatcher_map.h"
#include "gentianplank/standin/line_protocol_group.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    explicit Fixture(uint32_t connectionLimit = 16)
        : group("g", 2, connectionLimit)
    {
        DispatcherEnvironment environment;
        environment.mayUsePrimary = [this](const std::string &, uint64_t) { return hasLease; };
        environment.onUnreachable = [this](const MemberEntry &, const std::string &) {
            ++unreachableReports;
        };
        environment.onPrimaryPosition = [](const std::string &, uint64_t, const PositionSample &) {
        };
        environment.positionCovering = [this](const std::string &, BootInstant) {
            return coveringPosition;
        };
        environment.onConnectionOpened = [this] { ++openedConnections; };
        DispatcherLimits limits;
        limits.connections = connectionLimit;
        limits.transactionIdle = 200ms;
        dispatcher = std::make_shared<MemberDispatcher>(ioContext, environment,
                                                        group.discoveryEntry(0), limits);
    }

    static ForwardedStatement statement(uint64_t session, const std::string &text, ForwardKind kind)
    {
        ForwardedStatement it;
        it.session = {1, session};
        it.group = "g";
        it.member = "g-0";
        it.organisation = "org";
        it.requestId = "id" + std::to_string(session);
        it.text = text;
        it.kind = kind;
        it.timeout = 500ms;
        it.latencyObjective = 500ms;
        it.epoch = 1;
        return it;
    }

    void execute(const ForwardedStatement &it)
    {
        const size_t index = outcomes.size();
        outcomes.emplace_back();
        dispatcher->execute(
            it, [this, index](StatementOutcome outcome) { outcomes[index] = std::move(outcome); });
    }

    // Runs the I/O context until all statements have an outcome.
    void awaitOutcomes()
    {
        const auto end = std::chrono::steady_clock::now() + 5s;
        const auto isDone = [&] {
            return std::all_of(outcomes.begin(), outcomes.end(),
                               [](const auto &it) { return it.has_value(); });
        };
        while (!isDone() && std::chrono::steady_clock::now() < end) {
            runFor(5ms);
        }
        BOOST_REQUIRE(isDone());
    }

    void runFor(Duration time)
    {
        ioContext.restart();
        ioContext.run_for(time);
        dispatcher->tick();
    }

    StatementOutcome run(const ForwardedStatement &it)
    {
        execute(it);
        awaitOutcomes();
        return *outcomes.back();
    }

    LineProtocolGroup group;
    boost::asio::io_context ioContext;
    bool hasLease = true;
    std::optional<LogPosition> coveringPosition;
    int unreachableReports = 0;
    int openedConnections = 0;
    std::shared_ptr<MemberDispatcher> dispatcher;
    std::vector<std::optional<StatementOutcome>> outcomes;
};

struct ScarceFixture : Fixture
{
    ScarceFixture()
        : Fixture(3)
    {}
};

} // namespace

BOOST_FIXTURE_TEST_CASE(reusesIdleConnection, Fixture)
{
    for (uint64_t i = 0; i < 10; ++i) {
        const auto outcome = run(statement(i, "WRITE a " + std::to_string(i), ForwardKind::Write));
        BOOST_TEST((outcome.execution == StatementExecution::Answered));
        BOOST_TEST(!outcome.code);
        BOOST_TEST(outcome.lines.starts_with("DONE sig."));
    }
    BOOST_TEST(openedConnections == 1);
    BOOST_TEST(group.committed().at("a") == "9");
}

// After a power loss of all VMs, members kept the connections of the old processes for 3 s. These
// used up the connection limit, so that the new processes were refused.
BOOST_FIXTURE_TEST_CASE(keepsIdleConnectionsWithinHalfOfLimit, Fixture)
{
    for (uint64_t i = 0; i < 14; ++i) {
        auto it = statement(i, "WRITE a 1", ForwardKind::Write);
        it.organisation = "org-" + std::to_string(i);
        run(it);
    }
    runFor(20ms);
    BOOST_TEST(group.connections(0) <= 8U);
    // Connections in use may exceed that.
    for (uint64_t i = 20; i < 30; ++i) {
        auto it = statement(i, "READ a", ForwardKind::Read);
        it.opensTransaction = true;
        BOOST_TEST(!run(it).code);
    }
    BOOST_TEST(group.connections(0) >= 10U);
    dispatcher->endTransactionsOfOrigin(1);
    // The stand-in notices the end of a connection a moment later.
    for (int i = 0; i < 50 && group.connections(0) > 8; ++i) {
        runFor(20ms);
    }
    BOOST_TEST(group.connections(0) <= 8U);
}

// On a reused connection, a statement must not see the session values or prepared statements of
// another session.
BOOST_FIXTURE_TEST_CASE(appliesSessionValuesToReusedConnection, Fixture)
{
    ForwardedStatement first = statement(1, "READ a", ForwardKind::Read);
    first.values = {{"x", "1"}, {"y", "2"}};
    run(first);
    ForwardedStatement second = statement(2, "READ a", ForwardKind::Read);
    second.values = {{"y", "3"}};
    run(second);
    run(statement(3, "READ a", ForwardKind::Read));
    const auto runs = group.runs();
    BOOST_REQUIRE(runs.size() == 3U);
    BOOST_TEST((runs[0].values == first.values));
    BOOST_TEST((runs[1].values == second.values));
    BOOST_TEST(runs[2].values.empty());
    ForwardedStatement prepared = statement(4, "a 7", ForwardKind::Write);
    prepared.prepared = PreparedStatement{true, "q2c"};
    BOOST_TEST(!run(prepared).code);
    BOOST_TEST(group.committed().at("a") == "7");
}

BOOST_FIXTURE_TEST_CASE(pinsTransactionToItsConnection, Fixture)
{
    ForwardedStatement open = statement(1, "WRITE a 1", ForwardKind::Write);
    open.opensTransaction = true;
    BOOST_TEST((run(open).state == TransactionState::Open));
    run(statement(2, "WRITE b 2", ForwardKind::Write));
    ForwardedStatement next = statement(1, "READ a", ForwardKind::Read);
    next.continuesTransaction = true;
    BOOST_TEST(run(next).lines.starts_with("ROW 1"));
    BOOST_TEST(group.committed().count("a") == 0U);
    ForwardedStatement commit = statement(1, "COMMIT", ForwardKind::Commit);
    commit.continuesTransaction = true;
    BOOST_TEST(!run(commit).code);
    BOOST_TEST(group.committed().at("a") == "1");
    const auto runs = group.runs();
    BOOST_TEST(runs[0].connection == runs[2].connection);
    BOOST_TEST(runs[0].connection != runs[1].connection);
}

BOOST_FIXTURE_TEST_CASE(rollsBackAbandonedAndIdleTransactions, Fixture)
{
    ForwardedStatement open = statement(1, "WRITE a 1", ForwardKind::Write);
    open.opensTransaction = true;
    run(open);
    dispatcher->endTransactionsOfOrigin(1);
    runFor(50ms);
    BOOST_TEST(dispatcher->isIdle());
    open.session.session = 2;
    run(open);
    // The second transaction exceeds the idle timeout.
    runFor(250ms);
    runFor(50ms);
    BOOST_TEST(dispatcher->isIdle());
    ForwardedStatement commit = statement(2, "COMMIT", ForwardKind::Commit);
    commit.continuesTransaction = true;
    BOOST_TEST((run(commit).code == ErrorCode::Aborted));
    BOOST_TEST(group.committed().count("a") == 0U);
}

BOOST_FIXTURE_TEST_CASE(reportsUnknownOutcomeWhenAnswerToWriteIsLost, Fixture)
{
    run(statement(1, "WRITE a 1", ForwardKind::Write));
    group.loseNextAnswer();
    const auto outcome = run(statement(2, "WRITE a 2", ForwardKind::Write));
    BOOST_TEST((outcome.execution == StatementExecution::Unknown));
    BOOST_TEST(group.committed().at("a") == "2");
}

// A write is not sent after the lease on the primary has expired, and an answer that comes after it
// is not passed on.
BOOST_FIXTURE_TEST_CASE(neitherSendsNorAcknowledgesWithoutPrimaryLease, Fixture)
{
    hasLease = false;
    const auto refused = run(statement(1, "WRITE a 1", ForwardKind::Write));
    BOOST_TEST((refused.execution == StatementExecution::NotRun));
    BOOST_TEST(group.runs().empty());
    hasLease = true;
    run(statement(2, "WRITE a 1", ForwardKind::Write));
    execute(statement(3, "WRITE a 2", ForwardKind::Write));
    hasLease = false;
    awaitOutcomes();
    BOOST_TEST((outcomes.back()->execution != StatementExecution::Answered));
}

// Guards against stale reads: a read is sent to a replica only with a position that the replica
// must have applied.
BOOST_FIXTURE_TEST_CASE(sendsReplicaReadOnlyWithPositionWithinStalenessBound, Fixture)
{
    ForwardedStatement read = statement(1, "READ a", ForwardKind::Read);
    read.epoch = 0;
    read.stalenessBound = 1s;
    BOOST_TEST((run(read).code == ErrorCode::Lagging));
    BOOST_TEST(group.runs().empty());
    BOOST_TEST(dispatcher->needsPrimaryPositions());
    coveringPosition = LogPosition{1, 1};
    BOOST_TEST((run(read).code == ErrorCode::Lagging));
    run(statement(2, "WRITE a 1", ForwardKind::Write));
    BOOST_TEST(!run(read).code);
    // The session's last commit takes precedence if it is later.
    read.requiredPosition = LogPosition{1, 2};
    BOOST_TEST((run(read).code == ErrorCode::Lagging));
}

BOOST_FIXTURE_TEST_CASE(reportsNotRunWhenMemberRefusesConnection, Fixture)
{
    group.crash(0);
    const auto outcome = run(statement(1, "WRITE a 1", ForwardKind::Write));
    BOOST_TEST((outcome.execution == StatementExecution::NotRun));
    BOOST_TEST(outcome.isUnreachable);
    BOOST_TEST(unreachableReports == 1);
}

// A member that fell silent between the start of a connection and the statement was reported only
// after its statements had, one after the other, timed out in a setup step.
BOOST_FIXTURE_TEST_CASE(reportsMemberThatFallsSilentDuringSetupStep, Fixture)
{
    namespace asio = boost::asio;
    asio::ip::tcp::acceptor acceptor(ioContext, {asio::ip::make_address("127.0.0.1"), 0});
    asio::ip::tcp::socket memberSocket(ioContext);
    asio::streambuf received;
    acceptor.async_accept(memberSocket, [&](boost::system::error_code) {
        asio::async_read_until(
            memberSocket, received, "\n", [&](boost::system::error_code, size_t) {
                asio::write(memberSocket, asio::buffer(std::string("READY I -\r\n")));
                acceptor.close();
            });
    });
    MemberEntry entry = group.discoveryEntry(0);
    entry.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    dispatcher->update(entry, {});
    ForwardedStatement it = statement(1, "READ a", ForwardKind::Read);
    it.values["time_zone"] = "UTC";
    it.timeout = 2s;
    execute(it);
    const auto startedAt = std::chrono::steady_clock::now();
    while (unreachableReports == 0 && std::chrono::steady_clock::now() - startedAt < 450ms) {
        runFor(10ms);
    }
    BOOST_TEST(unreachableReports == 1);
    awaitOutcomes();
    BOOST_TEST(outcomes.back()->isUnreachable);
}

BOOST_FIXTURE_TEST_CASE(sharesScarceConnectionsBetweenOrganisations, ScarceFixture)
{
    for (uint64_t i = 0; i < 40; ++i) {
        ForwardedStatement it = statement(i, "WRITE a 1", ForwardKind::Write);
        it.organisation = "org" + std::to_string(i % 5);
        execute(it);
    }
    awaitOutcomes();
    for (const auto &it : outcomes) {
        BOOST_TEST(!it->code);
    }
    BOOST_TEST(group.connections(0) <= 3U);
    for (const ExecutedStatement &it : group.runs()) {
        const auto number = std::stoull(it.requestId.substr(2));
        BOOST_TEST(it.organisation == "org" + std::to_string(number % 5));
    }
}

// Connections left by VMs that lost power can fill a member. Its rejections must not be requested
// again for every statement.
BOOST_FIXTURE_TEST_CASE(backsOffFromMemberAtConnectionLimit, ScarceFixture)
{
    DispatcherEnvironment environment;
    environment.mayUsePrimary = [](const std::string &, uint64_t) { return true; };
    environment.onUnreachable = [](const MemberEntry &, const std::string &) {};
    environment.onPrimaryPosition = [](const std::string &, uint64_t, const PositionSample &) {};
    environment.positionCovering = [](const std::string &, BootInstant) {
        return std::optional<LogPosition>();
    };
    environment.onConnectionOpened = [] {};
    // Another dispatcher holds all connections that the member accepts.
    auto other = std::make_shared<MemberDispatcher>(ioContext, environment, group.discoveryEntry(0),
                                                    DispatcherLimits{4, false, 10s});
    int openTransactions = 0;
    for (uint64_t i = 0; i < 3; ++i) {
        ForwardedStatement open = statement(100 + i, "WRITE z 1", ForwardKind::Write);
        open.opensTransaction = true;
        open.session.origin = 9;
        other->execute(open, [&](const StatementOutcome &) { ++openTransactions; });
    }
    runFor(100ms);
    BOOST_REQUIRE(openTransactions == 3);
    for (uint64_t i = 0; i < 50; ++i) {
        BOOST_TEST((run(statement(i, "WRITE a 1", ForwardKind::Write)).code ==
                    ErrorCode::TooManyConnections));
    }
    BOOST_TEST(openedConnections <= 4);
}

// Guards against statements of one organisation on a connection that was started for another: after
// a commit of a session whose key had moved, the connection was kept for the new organisation.
BOOST_FIXTURE_TEST_CASE(connectionIsUsedForItsOrganisationOnly, Fixture)
{
    ForwardedStatement open = statement(1, "WRITE a 1", ForwardKind::Write);
    open.organisation = "t1";
    open.opensTransaction = true;
    run(open);
    ForwardedStatement commit = statement(1, "COMMIT", ForwardKind::Commit);
    commit.organisation = "t2";
    commit.continuesTransaction = true;
    const auto outcome = run(commit);
    BOOST_TEST((outcome.execution == StatementExecution::NotRun));
    BOOST_TEST((outcome.code == ErrorCode::Aborted));
    runFor(50ms);
    BOOST_TEST(group.committed().count("a") == 0U);
    for (uint64_t i = 2; i < 6; ++i) {
        ForwardedStatement next = statement(i, "READ a", ForwardKind::Read);
        next.organisation = i % 2 == 0 ? "t2" : "t1";
        run(next);
        BOOST_TEST(group.runs().back().organisation == next.organisation);
    }
}

// Guards against logs that can't tell on which connection, and so for which organisation, a
// statement ran.
BOOST_FIXTURE_TEST_CASE(outcomeNamesItsConnection, Fixture)
{
    std::map<uint64_t, uint64_t> numbers;
    for (uint64_t i = 0; i < 6; ++i) {
        ForwardedStatement it = statement(i, "READ a", ForwardKind::Read);
        it.organisation = i % 2 == 0 ? "t1" : "t2";
        const StatementOutcome outcome = run(it);
        BOOST_TEST(outcome.connection != 0U);
        const uint64_t atMember = group.runs().back().connection;
        BOOST_TEST(numbers.try_emplace(outcome.connection, atMember).first->second == atMember);
        peer::v1::Answer wire;
        toWire(outcome, &wire);
        BOOST_TEST(fromWire(wire).connection == outcome.connection);
    }
    BOOST_TEST(numbers.size() == 2U);
    group.crash(0);
    dispatcher->close("crashed");
    runFor(20ms);
    BOOST_TEST(run(statement(9, "READ a", ForwardKind::Read)).connection == 0U);
}

// Guards against statements without an answer: a dispatcher was destroyed with its queue when its
// member's entry was gone for 2.3 s.
BOOST_FIXTURE_TEST_CASE(retiredDispatcherAnswersAllStatements, Fixture)
{
    ForwardedStatement open = statement(1, "WRITE a 1", ForwardKind::Write);
    open.opensTransaction = true;
    run(open);
    group.stopAnswering(0);
    ForwardedStatement next = statement(1, "WRITE a 2", ForwardKind::Write);
    next.continuesTransaction = true;
    execute(next);
    for (uint64_t i = 2; i < 8; ++i) {
        execute(statement(i, "WRITE b 1", ForwardKind::Write));
    }
    runFor(20ms);
    DispatcherMap dispatchers{{"g-0", dispatcher}};
    retireUnlisted(dispatchers, FleetView{});
    runFor(20ms);
    for (size_t i = 1; i < outcomes.size(); ++i) {
        BOOST_REQUIRE(outcomes[i].has_value());
    }
    BOOST_TEST((outcomes[1]->execution == StatementExecution::Unknown));
    BOOST_TEST((outcomes.back()->execution == StatementExecution::NotRun));
    BOOST_TEST(
        (run(statement(9, "READ a", ForwardKind::Read)).execution == StatementExecution::NotRun));
}

// Guards against a prepared statement that runs another shape: its name at the member contained the
// shape, and ended at the shape's first blank.
BOOST_FIXTURE_TEST_CASE(preparedShapeMayContainBlanks, Fixture)
{
    ForwardedStatement first = statement(1, "a 7", ForwardKind::Write);
    first.prepared = PreparedStatement{true, "q 2c"};
    BOOST_TEST(!run(first).code);
    ForwardedStatement second = statement(2, "a", ForwardKind::Read);
    second.prepared = PreparedStatement{false, "q 2c"};
    BOOST_TEST(run(second).lines.starts_with("ROW 7"));
    BOOST_TEST(openedConnections == 1);
}

// Guards against a connection that collects the prepared statements of all sessions that use it.
BOOST_FIXTURE_TEST_CASE(connectionKeepsFewPreparedStatements, Fixture)
{
    for (uint64_t i = 0; i < 410; ++i) {
        ForwardedStatement it = statement(i, "a", ForwardKind::Read);
        it.prepared = PreparedStatement{false, "shape-" + std::to_string(i)};
        BOOST_TEST(!run(it).code);
    }
    BOOST_TEST(openedConnections == 1);
    BOOST_TEST(group.preparedStatements(0) <= 200U);
}

// Guards against a statement inside the transaction of another session, on a connection that is
// handed on before its rollback has ended.
BOOST_FIXTURE_TEST_CASE(connectionIsHandedOnAfterItsRollback, ScarceFixture)
{
    for (uint64_t round = 0; round < 5; ++round) {
        for (uint64_t i = 0; i < 2; ++i) {
            ForwardedStatement open = statement(10 * round + i, "WRITE a 1", ForwardKind::Write);
            open.opensTransaction = true;
            open.values = {{"v", "transaction"}};
            BOOST_TEST(!run(open).code);
        }
        dispatcher->endTransactionsOfOrigin(1);
        execute(statement(10 * round + 5, "WRITE b 1", ForwardKind::Write));
        ForwardedStatement other = statement(10 * round + 6, "WRITE c 1", ForwardKind::Write);
        other.organisation = "other";
        execute(other);
        awaitOutcomes();
        for (const auto *it : {&outcomes[outcomes.size() - 2], &outcomes.back()}) {
            BOOST_TEST(!(*it)->code);
            BOOST_TEST((*it)->lines.starts_with("DONE sig."));
            BOOST_TEST(((*it)->state == TransactionState::Idle));
        }
        outcomes.clear();
        const auto runs = group.runs();
        BOOST_TEST(runs[runs.size() - 1].values.empty());
        BOOST_TEST(runs[runs.size() - 2].values.empty());
    }
    BOOST_TEST(group.committed().count("a") == 0U);
    BOOST_TEST(group.committed().count("b") == 1U);
    BOOST_TEST(group.committed().count("c") == 1U);
}

// Guards against replica reads that wait until their deadline for a member that accepts connections
// and hangs: they go to other members, with a report of what was seen.
BOOST_FIXTURE_TEST_CASE(replicaReadsLeaveMemberThatHangs, Fixture)
{
    ForwardedStatement read = statement(1, "READ a", ForwardKind::Read);
    read.epoch = 0;
    read.timeout = 2s;
    const uint32_t slots = group.discoveryEntry(0).slots;
    for (uint64_t i = 0; i < slots; ++i) {
        read.session.session = 1 + i;
        execute(read);
    }
    awaitOutcomes();
    BOOST_TEST(outcomes.back()->memberReads.failures < 0.5);
    group.stopAnswering(0);
    for (uint64_t i = 0; i < slots + 1; ++i) {
        read.session.session = 10 + i;
        execute(read);
    }
    const auto startedAt = std::chrono::steady_clock::now();
    while (!outcomes.back() && std::chrono::steady_clock::now() - startedAt < 1500ms) {
        runFor(20ms);
    }
    BOOST_REQUIRE(outcomes.back().has_value());
    BOOST_TEST((std::chrono::steady_clock::now() - startedAt < 1s));
    BOOST_TEST((outcomes.back()->execution == StatementExecution::NotRun));
    BOOST_TEST(outcomes.back()->memberReads.failures > 1.0);
    awaitOutcomes();
}
