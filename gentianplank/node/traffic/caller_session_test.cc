#include "gentianplank/node/traffic/caller_session.h"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr size_t Kilobyte = 1024;

// A caller's end of a session.
class Client
{
public:
    Client(asio::io_context &context, uint64_t number, const SessionEnvironment &environment)
        : m_context(context)
        , m_socket(context)
    {
        asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
        m_socket.connect(acceptor.local_endpoint());
        session = std::make_shared<CallerSession>(acceptor.accept(), number, environment);
        session->start();
    }

    void send(const std::string &line) { asio::write(m_socket, asio::buffer(line + "\r\n")); }

    // Sends a line and returns the first line of the answer; empty if none comes within a second.
    std::string request(const std::string &line)
    {
        send(line);
        const std::string answer = received("READY");
        return answer.substr(0, answer.find("\r\n"));
    }

    // Returns what comes up to a line with the word, within a second.
    std::string received(const std::string &word)
    {
        std::string text;
        for (int i = 0; i < 200 && text.find(word) == std::string::npos; ++i) {
            m_context.restart();
            m_context.run_for(5ms);
            std::string chunk(m_socket.available(m_ignored), '\0');
            if (!chunk.empty()) {
                text += chunk.substr(0, m_socket.receive(asio::buffer(chunk), 0, m_ignored));
            }
        }
        return text;
    }

    std::shared_ptr<CallerSession> session;

private:
    asio::io_context &m_context;
    asio::ip::tcp::socket m_socket;
    boost::system::error_code m_ignored;
};

// Sessions of an entry VM whose statements the test answers. The organisations t1 and t2 have few
// tokens, which don't come back by themselves.
struct Fixture
{
    Fixture()
    {
        FleetMember member;
        member.entry = {"m", "g", "10.0.0.1:1", "a", 2, false, true, 1};
        member.place = {"a", "r"};
        view->members["m"] = member;
        view->membersOfGroup["g"].push_back("m");
        view->vms.push_back({"vm", "10.0.0.1:2", {"a", "r"}, 1, false});
        view->groups["g"] = {"g", 5, GroupPhase::Serving, "m", 1, 1, false, ""};
        view->wasRegisteredBeforeStart = true;
        ranked.push_back(view->vms.data());
        moveKey("t1");
        rates.update(*view, steadyNow());

        RouterEnvironment routerEnvironment;
        routerEnvironment.view = [this] { return view; };
        routerEnvironment.usablePrimary = [this](const std::string &) {
            return hasPrimary ? std::optional(view->groups["g"]) : std::nullopt;
        };
        routerEnvironment.dispatchers = [this](const std::string &) {
            return std::span<const VmRecord *const>(ranked);
        };
        routerEnvironment.isReachable = [](const std::string &) { return true; };
        routerEnvironment.provenRouting = [this] { return view->routing; };
        routerEnvironment.execute = [this](const std::string &, const ForwardedStatement &statement,
                                           const OutcomeHandler &done) {
            sent.push_back(statement);
            done(answer(statement));
        };
        routerEnvironment.ownName = "vm";
        router = std::make_unique<StatementRouter>(Place{"a", "r"}, std::move(routerEnvironment));

        environment.provenRouting = [this] { return view->routing; };
        environment.memory = memory;
        environment.watch = [](const std::weak_ptr<CallerSession> &) {};
        environment.router = router.get();
        environment.rates = &rates;
        environment.endTransaction = [](const std::string &, const std::string &, uint64_t) {};
        environment.report = [](const StatementReport &) {};
        environment.onClosed = [](uint64_t, CloseReason) {};
    }

    void moveKey(const std::string &holder)
    {
        auto routing = std::make_shared<Routing>();
        routing->revision = ++revision;
        for (const std::string name : {"t1", "t2"}) {
            OrganisationLimits organisation{name, {"k" + name}, 0.001, 100};
            if (name == holder) {
                organisation.keys.emplace_back("moving");
            }
            addOrganisation(*routing, std::move(organisation));
        }
        DatabaseRoute route;
        route.database = "db";
        route.group = "g";
        routing->routes["db"] = route;
        view->routing = routing;
    }

    double tokensOf(const std::string &organisation) const
    {
        return rates.status(organisation, steadyNow())->tokens;
    }

    asio::io_context context;
    uint64_t revision = 6;
    bool hasPrimary = true;
    std::shared_ptr<FleetView> view = std::make_shared<FleetView>();
    std::vector<const VmRecord *> ranked;
    RateExchange rates{"vm",
                       {"a", "r"},
                       ShareDelays{5200ms, 2s},
                       {[](const std::string &) { return true; },
                        [](const std::string &, const peer::v1::Frame &) { return true; }}};
    std::function<StatementOutcome(const ForwardedStatement &)> answer =
        [](const ForwardedStatement &statement) {
            StatementOutcome outcome;
            outcome.execution = StatementExecution::Answered;
            outcome.lines = "DONE sig\r\n";
            outcome.state =
                statement.opensTransaction ? TransactionState::Open : TransactionState::Idle;
            return outcome;
        };
    std::vector<ForwardedStatement> sent;
    std::unique_ptr<StatementRouter> router;
    std::shared_ptr<MemoryBudget> memory = std::make_shared<MemoryBudget>();
    SessionEnvironment environment;
};

} // namespace

// Guards against a commit that is sent, and may be reported as unknown, after its key moved: the
// entry VM refuses it itself.
BOOST_FIXTURE_TEST_CASE(commitOfMovedKeyIsNotSent, Fixture)
{
    Client client(context, 1, environment);
    client.request("START db moving");
    client.request("QUERY q1 BEGIN");
    BOOST_TEST(client.request("QUERY q2 WRITE a 1").starts_with("DONE"));
    moveKey("t2");
    const size_t before = sent.size();
    BOOST_TEST(client.request("QUERY q3 COMMIT").starts_with("ERROR ABORTED"));
    BOOST_TEST(sent.size() == before);
}

// Guards against an organisation that gets more than its rate: the tokens of statements that no
// member ran were returned although an open transaction's statements had taken none.
BOOST_FIXTURE_TEST_CASE(onlyTakenTokensAreReturned, Fixture)
{
    const auto answerFirst = answer;
    answer = [answerFirst](const ForwardedStatement &statement) {
        return statement.continuesTransaction ? notRun(ErrorCode::Aborted, "no longer open")
                                              : answerFirst(statement);
    };
    const double before = tokensOf("t1");
    Client client(context, 1, environment);
    client.request("START db moving");
    for (int i = 0; i < 3; ++i) {
        client.request("QUERY q1 BEGIN");
        BOOST_TEST(client.request("QUERY q2 WRITE a 1").starts_with("DONE"));
        BOOST_TEST(client.request("QUERY q3 WRITE a 2").starts_with("ERROR ABORTED"));
        client.request("QUERY q4 ROLLBACK");
    }
    BOOST_TEST(tokensOf("t1") < before - 2.9);
}

// Guards against a token that is returned to another organisation than it was taken from.
BOOST_FIXTURE_TEST_CASE(tokenReturnsToItsOrganisationWhenKeyMoved, Fixture)
{
    const double t1 = tokensOf("t1");
    const double t2 = tokensOf("t2");
    Client client(context, 1, environment);
    client.request("START db moving");
    hasPrimary = false;
    client.send("QUERY q1 WRITE a 1");
    client.received("nothing yet");
    BOOST_TEST(tokensOf("t1") < t1 - 0.9);
    moveKey("t2");
    router->retryWaiting();
    BOOST_TEST(client.received("READY").starts_with("ERROR BUSY"));
    BOOST_TEST(tokensOf("t1") > t1 - 0.1);
    BOOST_TEST(tokensOf("t2") < t2 + 0.1);
    BOOST_TEST(sent.empty());
}

// Guards against a session whose memory is counted for the organisation that had its key before:
// another organisation's session was closed in place of one of its own.
BOOST_FIXTURE_TEST_CASE(memoryIsCountedForTheHolderOfTheKey, Fixture)
{
    Client mover(context, 1, environment);
    Client first(context, 2, environment);
    Client second(context, 3, environment);
    mover.request("START db moving");
    first.request("START db kt1");
    second.request("START db kt2");
    mover.request("QUERY q1 SET v " + std::string(25 * Kilobyte, 'x'));
    first.request("QUERY q1 SET v " + std::string(40 * Kilobyte, 'x'));
    second.request("QUERY q1 SET v " + std::string(30 * Kilobyte, 'x'));
    moveKey("t2");
    BOOST_TEST(mover.request("QUERY q2 READ a").starts_with("DONE"));
    memory->setMarks({memory->used() - 1, memory->used()});
    memory->sweep(steadyNow());
    BOOST_TEST(second.received("ERROR").starts_with("ERROR TOOBIG"));
    BOOST_TEST(memory->shedCount() == 1U);
}
