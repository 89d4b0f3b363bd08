#include "gentianplank/node/traffic/authority.h"

#include "gentianplank/node/traffic/member_dispatcher.h"
#include "gentianplank/node/traffic/statement_router.h"
#include "gentianplank/standin/line_protocol_group.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

constexpr char Key[] = "moving";

// Returns a configuration in which `holder` has the key, or nobody if that is empty.
std::shared_ptr<const Routing> configurationOf(uint64_t revision, const std::string &holder,
                                               bool isPublic = false)
{
    auto routing = std::make_shared<Routing>();
    routing->revision = revision;
    for (const std::string name : {"t1", "t2"}) {
        OrganisationLimits organisation{name, {"key of " + name}, 100, 100};
        if (name == holder) {
            organisation.keys.emplace_back(Key);
        }
        addOrganisation(*routing, std::move(organisation));
    }
    DatabaseRoute route;
    route.database = "db";
    route.group = "g";
    route.isPublic = isPublic;
    routing->routes["db"] = route;
    return routing;
}

ForwardedStatement statementOf(const std::string &organisation, uint64_t revision,
                               std::string_view key = Key)
{
    ForwardedStatement statement;
    statement.session = {1, 1};
    statement.group = "g";
    statement.member = "g-0";
    statement.organisation = organisation;
    statement.keyFingerprint = keyFingerprint(key);
    statement.revision = revision;
    statement.requestId = "id";
    statement.text = "WRITE a 1";
    statement.kind = ForwardKind::Write;
    statement.timeout = 2s;
    statement.epoch = 1;
    return statement;
}

// A router whose only member is the group's primary.
struct RouterFixture
{
    RouterFixture()
    {
        FleetMember member;
        member.entry = {"g-0", "g", "10.0.0.1:1", "a", 2, false, true, 1};
        member.place = {"a", "r"};
        view->members["g-0"] = member;
        view->membersOfGroup["g"].push_back("g-0");
        view->vms.push_back({"vm", "10.0.0.1:2", {"a", "r"}, 1, false});
        view->groups["g"] = {"g", 5, GroupPhase::Serving, "g-0", 1, 1, false, ""};
        ranked.push_back(view->vms.data());
        RouterEnvironment environment;
        environment.view = [this] { return view; };
        environment.usablePrimary = [this](const std::string &) {
            return hasPrimary ? std::optional(view->groups["g"]) : std::nullopt;
        };
        environment.dispatchers = [this](const std::string &) {
            return std::span<const VmRecord *const>(ranked);
        };
        environment.isReachable = [](const std::string &) { return true; };
        environment.provenRouting = [this] { return proven; };
        environment.execute = [this](const std::string &, const ForwardedStatement &statement,
                                     OutcomeHandler done) {
            sent.push_back(statement);
            handlers.push_back(std::move(done));
        };
        environment.ownName = "vm";
        router = std::make_unique<StatementRouter>(Place{"a", "r"}, std::move(environment));
    }

    void route(ForwardKind kind, const std::string &organisation = "t1")
    {
        RoutedStatement request;
        request.statement = statementOf(organisation, 0);
        request.statement.kind = kind;
        request.origin = {"db", {}};
        request.arrivedAt = bootNow();
        request.deadline = steadyNow() + 10s;
        router->route(std::move(request), [this](RoutedOutcome it) { result = std::move(it); });
    }

    std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
    std::vector<const VmRecord *> ranked;
    std::shared_ptr<const Routing> proven = configurationOf(7, "t1");
    bool hasPrimary = true;
    std::vector<ForwardedStatement> sent;
    std::vector<OutcomeHandler> handlers;
    std::optional<RoutedOutcome> result;
    std::unique_ptr<StatementRouter> router;
};

// A dispatcher, with this VM's configuration, of a member that accepts two connections.
struct DispatcherFixture
{
    DispatcherFixture()
        : group("g", 1, 3)
    {
        DispatcherEnvironment environment;
        environment.mayUsePrimary = [](const std::string &, uint64_t) { return true; };
        environment.onUnreachable = [](const MemberEntry &, const std::string &) {};
        environment.onPrimaryPosition = [](const std::string &, uint64_t, const PositionSample &) {
        };
        environment.positionCovering = [](const std::string &, BootInstant) {
            return std::optional<LogPosition>();
        };
        environment.onConnectionOpened = [] {};
        environment.provenRouting = [this] { return proven; };
        DispatcherLimits limits;
        limits.connections = 3;
        dispatcher = std::make_shared<MemberDispatcher>(ioContext, environment,
                                                        group.discoveryEntry(0), limits);
    }

    ~DispatcherFixture()
    {
        dispatcher->close("the test ends");
        runFor(20ms);
    }

    void runFor(Duration time)
    {
        ioContext.restart();
        ioContext.run_for(time);
        dispatcher->tick();
    }

    void execute(const ForwardedStatement &statement)
    {
        const size_t index = outcomes.size();
        outcomes.emplace_back();
        dispatcher->execute(statement, [this, index](StatementOutcome outcome) {
            outcomes[index] = std::move(outcome);
        });
    }

    StatementOutcome run(const ForwardedStatement &statement)
    {
        execute(statement);
        for (int i = 0; i < 500 && !outcomes.back(); ++i) {
            runFor(5ms);
        }
        BOOST_REQUIRE(outcomes.back().has_value());
        return *outcomes.back();
    }

    // Opens transactions of t2 that hold all connections to the member.
    void holdConnections()
    {
        for (uint64_t i = 0; i < 2; ++i) {
            ForwardedStatement open = statementOf("t2", 7, "key of t2");
            open.session = {1, 100 + i};
            open.opensTransaction = true;
            BOOST_REQUIRE(!run(open).code);
        }
    }

    bool hasRunFor(const std::string &organisation) const
    {
        const auto runs = group.runs();
        return std::any_of(runs.begin(), runs.end(), [&](const ExecutedStatement &it) {
            return it.organisation == organisation;
        });
    }

    LineProtocolGroup group;
    boost::asio::io_context ioContext;
    std::shared_ptr<const Routing> proven = configurationOf(7, "t1");
    std::shared_ptr<MemberDispatcher> dispatcher;
    std::vector<std::optional<StatementOutcome>> outcomes;
};

} // namespace

// Guards against a statement that runs by an older configuration than the later one of its two VMs.
BOOST_AUTO_TEST_CASE(laterConfigurationDecides)
{
    rc::check("the entry VM's and the dispatcher's configuration", [] {
        const std::vector<std::string> holders{"t1", "t2", ""};
        const auto holder = *rc::gen::elementOf(holders);
        const auto organisation =
            *rc::gen::elementOf(std::vector<std::string>{"t1", "t2", std::string("-")});
        const auto entry = *rc::gen::inRange<uint64_t>(1, 5);
        const auto own = *rc::gen::inRange<uint64_t>(1, 5);
        const auto routing = configurationOf(own, holder);
        const bool holds = organisation == (holder.empty() ? "-" : holder);
        const auto expected = own < entry || holds ? Authority::Confirmed : Authority::Superseded;
        RC_ASSERT(authorityOf(routing.get(), statementOf(organisation, entry)) == expected);
        RC_ASSERT(authorityOf(nullptr, statementOf(organisation, entry)) == Authority::Unproven);
    });
}

// Guards against an organisation that was removed and added again under its name, with other keys,
// and is taken for the holder of the former ones.
BOOST_AUTO_TEST_CASE(sameNameWithOtherKeysIsNotTheHolder)
{
    Routing routing;
    routing.revision = 8;
    addOrganisation(routing, {"t1", {"another"}, 100, 100});
    BOOST_TEST((authorityOf(&routing, statementOf("t1", 7)) == Authority::Superseded));
    BOOST_TEST((authorityOf(&routing, statementOf("t1", 7, "another")) == Authority::Confirmed));
}

// Guards against decisions that are lost between VMs.
BOOST_AUTO_TEST_CASE(decisionIsSentToDispatcher)
{
    peer::v1::Execute wire;
    toWire(statementOf("t1", 9), &wire);
    const ForwardedStatement received = fromWire(wire);
    BOOST_TEST(received.revision == 9U);
    BOOST_TEST(received.keyFingerprint == keyFingerprint(Key));
    BOOST_TEST(wire.SerializeAsString().find(Key) == std::string::npos);
    BOOST_TEST(keyFingerprint("") == 0U);
}

// Guards against a statement that waits at its entry VM, here for a primary, and then runs for the
// organisation that had its key before.
BOOST_FIXTURE_TEST_CASE(waitingStatementDoesNotRunForFormerOrganisation, RouterFixture)
{
    hasPrimary = false;
    route(ForwardKind::Write);
    BOOST_REQUIRE(!result);
    proven = configurationOf(8, "t2");
    hasPrimary = true;
    router->retryWaiting();
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((result->outcome.execution == StatementExecution::NotRun));
    BOOST_TEST((result->outcome.code == ErrorCode::Busy));
    BOOST_TEST(sent.empty());
}

// Guards against the same with a key that was withdrawn: the caller is told so at once.
BOOST_FIXTURE_TEST_CASE(waitingStatementEndsWhenItsKeyIsWithdrawn, RouterFixture)
{
    hasPrimary = false;
    route(ForwardKind::Write);
    proven = configurationOf(8, "");
    router->retryWaiting();
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((result->outcome.code == ErrorCode::NoAuthorisation));
    result.reset();
    proven = configurationOf(8, "t1", true);
    route(ForwardKind::Write);
    proven = configurationOf(9, "", true);
    router->retryWaiting();
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((result->outcome.code == ErrorCode::Busy));
    BOOST_TEST(sent.empty());
}

// Guards against refusals of statements whose key did not move: other changes don't concern them.
BOOST_FIXTURE_TEST_CASE(waitingStatementOutlastsOtherChanges, RouterFixture)
{
    hasPrimary = false;
    route(ForwardKind::Write);
    proven = configurationOf(8, "t1");
    hasPrimary = true;
    router->retryWaiting();
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent[0].revision == 8U);
    BOOST_TEST(!result);
}

// Guards against an attempt that is repeated for the former organisation.
BOOST_FIXTURE_TEST_CASE(failedAttemptIsNotRepeatedForFormerOrganisation, RouterFixture)
{
    route(ForwardKind::Write);
    BOOST_REQUIRE(sent.size() == 1U);
    proven = configurationOf(8, "t2");
    handlers[0](unreachable("the VM is unreachable"));
    router->tick();
    BOOST_TEST(sent.size() == 1U);
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((result->outcome.execution == StatementExecution::NotRun));
}

// Guards against a VM that waits with a statement until it no longer knows who holds the key.
BOOST_FIXTURE_TEST_CASE(waitingStatementEndsWithoutProof, RouterFixture)
{
    hasPrimary = false;
    route(ForwardKind::Write);
    proven = nullptr;
    hasPrimary = true;
    router->retryWaiting();
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((result->outcome.code == ErrorCode::Busy));
    BOOST_TEST(sent.empty());
}

// Guards against a statement that waits at its dispatcher, here for a connection, and then runs for
// the organisation that had its key before. It is refused at once, not at its deadline.
BOOST_FIXTURE_TEST_CASE(queuedStatementDoesNotRunForFormerOrganisation, DispatcherFixture)
{
    holdConnections();
    execute(statementOf("t1", 7));
    runFor(50ms);
    BOOST_REQUIRE(!outcomes.back());
    proven = configurationOf(8, "t2");
    runFor(20ms);
    BOOST_REQUIRE(outcomes.back().has_value());
    BOOST_TEST((outcomes.back()->execution == StatementExecution::NotRun));
    BOOST_TEST((outcomes.back()->code == ErrorCode::Busy));
    dispatcher->endTransactionsOfOrigin(1);
    runFor(100ms);
    BOOST_TEST(!hasRunFor("t1"));
}

// Guards against the same with a configuration that changes while the statement's connection is set
// up, after its turn has come.
BOOST_FIXTURE_TEST_CASE(startedStatementDoesNotRunForFormerOrganisation, DispatcherFixture)
{
    execute(statementOf("t1", 7));
    proven = configurationOf(8, "t2");
    runFor(100ms);
    BOOST_REQUIRE(outcomes.back().has_value());
    BOOST_TEST((outcomes.back()->execution == StatementExecution::NotRun));
    BOOST_TEST(!hasRunFor("t1"));
}

// Guards against statements that run by the decision of an entry VM with an older configuration,
// and against refusals of those whose entry VM has a later one.
BOOST_FIXTURE_TEST_CASE(dispatcherFollowsTheLaterConfiguration, DispatcherFixture)
{
    proven = configurationOf(8, "t2");
    const auto refused = run(statementOf("t1", 7));
    BOOST_TEST((refused.execution == StatementExecution::NotRun));
    BOOST_TEST(!refused.isUnreachable);
    BOOST_TEST(!run(statementOf("t2", 7)).code);
    BOOST_TEST(!run(statementOf("t1", 9)).code);
    BOOST_TEST(group.runs().back().organisation == "t1");
}

// Guards against statements that run on a VM that was frozen or cut off while their key moved. What
// had reached it before is still in its sockets when it wakes.
BOOST_FIXTURE_TEST_CASE(dispatcherWithoutProofRunsNothing, DispatcherFixture)
{
    ForwardedStatement open = statementOf("t1", 7);
    open.opensTransaction = true;
    BOOST_TEST(!run(open).code);
    proven = nullptr;
    ForwardedStatement commit = statementOf("t1", 7);
    commit.text = "COMMIT";
    commit.kind = ForwardKind::Commit;
    commit.continuesTransaction = true;
    BOOST_TEST((run(commit).code == ErrorCode::Aborted));
    ForwardedStatement other = statementOf("t1", 7);
    other.session = {1, 2};
    BOOST_TEST(run(other).isUnreachable);
    BOOST_TEST(group.committed().empty());
}

// Guards against the commit of a transaction whose key moved, with an entry VM that doesn't know.
BOOST_FIXTURE_TEST_CASE(openTransactionEndsByDispatchersConfiguration, DispatcherFixture)
{
    ForwardedStatement open = statementOf("t1", 7);
    open.opensTransaction = true;
    BOOST_TEST(!run(open).code);
    proven = configurationOf(8, "t2");
    ForwardedStatement commit = statementOf("t1", 7);
    commit.text = "COMMIT";
    commit.kind = ForwardKind::Commit;
    commit.continuesTransaction = true;
    BOOST_TEST((run(commit).code == ErrorCode::Aborted));
    BOOST_TEST(group.committed().empty());
}

// Guards against statements on a public route that run for an organisation whose key was withdrawn,
// or without one although the key was granted meanwhile.
BOOST_FIXTURE_TEST_CASE(publicRouteFollowsTheKeyToo, DispatcherFixture)
{
    proven = configurationOf(8, "", true);
    BOOST_TEST((run(statementOf("t1", 7)).execution == StatementExecution::NotRun));
    BOOST_TEST(!run(statementOf(std::string(AnonymousOrganisation), 7)).code);
    proven = configurationOf(9, "t1", true);
    BOOST_TEST((run(statementOf(std::string(AnonymousOrganisation), 8)).execution ==
                StatementExecution::NotRun));
    BOOST_TEST(!run(statementOf(std::string(AnonymousOrganisation), 8, "")).code);
}
