// End-to-end tests of keys that move to another organisation, or are withdrawn, while sessions are
// open.
#include "gentianplank/node/testing/entry_fixture.h"

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

// Organisations t1 and t2; the key "moving" belongs to `holder`, and to nobody if that is empty.
std::string tenants(int version, const std::string &holder, int connectionLimit = 16)
{
    const auto tenant = [&](const std::string &name, const std::string &key) {
        return R"({"name":")" + name + R"(","api-keys":[")" + key + '"' +
               (holder == name ? R"(,"moving")" : "") +
               R"(],"rate-per-s":1000000,"burst-size":1000000})";
    };
    std::string text = configuration(version, "");
    const std::string limit = "\"connection-limit\":";
    text.replace(text.find(limit), limit.size() + 2, limit + std::to_string(connectionLimit));
    const size_t at = text.find("\"tenants\":");
    return text.substr(0, at) + "\"tenants\":[" + tenant("t1", "k1") + "," + tenant("t2", "k2") +
           "]}";
}

struct Fixture : EntryFixture
{
    Fixture()
    {
        store.put("op", "config", tenants(2, "t1"));
        awaitService(first->callerAddress());
        awaitOrganisation("t1");
    }

    void moveKey(const std::string &holder)
    {
        store.put("op", "config", tenants(++version, holder));
        awaitOrganisation(holder);
    }

    // Waits until statements with the moving key run for the organisation; if it is empty, until
    // the key is refused.
    void awaitOrganisation(const std::string &holder, const std::string &database = "main")
    {
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (std::chrono::steady_clock::now() < end) {
            Caller probe(first->callerAddress());
            const std::string answer = probe.firstLine("START " + database + " moving");
            if (holder.empty() && answer.starts_with("ERROR NOAUTH")) {
                return;
            }
            if (!holder.empty() && answer.starts_with("READY")) {
                probe.firstLine("QUERY probe READ warm");
                if (lastRunOf("probe") == holder) {
                    return;
                }
            }
            std::this_thread::sleep_for(20ms);
        }
        BOOST_FAIL("the configuration was not applied");
    }

    // Returns the organisation that the last statement with the id ran for; empty if none ran.
    std::string lastRunOf(const std::string &id) const
    {
        std::string organisation;
        for (const ExecutedStatement &it : group.runs()) {
            if (it.requestId == id) {
                organisation = it.organisation;
            }
        }
        return organisation;
    }

    // Checks that statements of callers whose keys never moved run for their own organisation.
    void checkOtherCallers()
    {
        for (int i = 0; i < 6; ++i) {
            const std::string key = i % 2 == 0 ? "k2" : "k1";
            const std::string id = "other" + std::to_string(i);
            Caller caller(first->callerAddress());
            caller.firstLine("START main " + key);
            BOOST_TEST(caller.firstLine("QUERY " + id + " WRITE o 1").starts_with("DONE"));
            BOOST_TEST(lastRunOf(id) == (i % 2 == 0 ? "t2" : "t1"));
        }
    }

    int version = 2;
};

} // namespace

// Guards against a transaction that goes on, and commits, for the key's former organisation.
BOOST_FIXTURE_TEST_CASE(openTransactionEndsWhenItsKeyMoves, Fixture)
{
    Caller mover(first->callerAddress());
    mover.firstLine("START main moving");
    mover.firstLine("QUERY m1 BEGIN");
    BOOST_TEST(mover.firstLine("QUERY m2 WRITE a 1").starts_with("DONE"));
    moveKey("t2");
    BOOST_TEST(mover.firstLine("QUERY m3 WRITE a 2").starts_with("ERROR ABORTED"));
    BOOST_TEST(lastRunOf("m3").empty());
    BOOST_TEST(mover.firstLine("QUERY m4 COMMIT").starts_with("ERROR ABORTED"));
    BOOST_TEST(mover.firstLine("QUERY m5 WRITE b 1").starts_with("DONE"));
    BOOST_TEST(lastRunOf("m5") == "t2");
    BOOST_TEST(group.committed().count("a") == 0U);
    checkOtherCallers();
}

// Guards against statements of other callers on the transaction's connection after its commit.
BOOST_FIXTURE_TEST_CASE(commitAfterItsKeyMovedKeepsNothing, Fixture)
{
    Caller mover(first->callerAddress());
    mover.firstLine("START main moving");
    mover.firstLine("QUERY m1 BEGIN");
    mover.firstLine("QUERY m2 WRITE a 1");
    moveKey("t2");
    BOOST_TEST(mover.firstLine("QUERY m3 COMMIT").starts_with("ERROR ABORTED"));
    BOOST_TEST(mover.firstLine("QUERY m4 READ a").starts_with("DONE"));
    BOOST_TEST(lastRunOf("m4") == "t2");
    checkOtherCallers();
}

// Guards against the same on a route open to all, where a withdrawn key leaves the session served.
BOOST_FIXTURE_TEST_CASE(withdrawnKeyEndsTransactionOnPublicRoute, Fixture)
{
    Caller mover(first->callerAddress());
    mover.firstLine("START open moving");
    mover.firstLine("QUERY m1 BEGIN");
    BOOST_TEST(mover.firstLine("QUERY m2 WRITE a 1").starts_with("DONE"));
    moveKey("");
    BOOST_TEST(mover.firstLine("QUERY m3 COMMIT").starts_with("ERROR ABORTED"));
    BOOST_TEST(mover.firstLine("QUERY m4 WRITE b 1").starts_with("DONE"));
    BOOST_TEST(lastRunOf("m4") == "-");
    for (int i = 0; i < 4; ++i) {
        Caller anonymous(first->callerAddress());
        anonymous.firstLine("START open");
        anonymous.firstLine("QUERY p" + std::to_string(i) + " READ b");
        BOOST_TEST(lastRunOf("p" + std::to_string(i)) == "-");
    }
    BOOST_TEST(group.committed().count("a") == 0U);
}

// Guards against a refusal of a transaction whose key came back before its next statement.
BOOST_FIXTURE_TEST_CASE(transactionGoesOnWhenItsKeyCameBack, Fixture)
{
    Caller mover(first->callerAddress());
    mover.firstLine("START main moving");
    mover.firstLine("QUERY m1 BEGIN");
    mover.firstLine("QUERY m2 WRITE a 1");
    moveKey("t2");
    moveKey("t1");
    BOOST_TEST(mover.firstLine("QUERY m3 COMMIT").starts_with("DONE"));
    BOOST_TEST(lastRunOf("m3") == "t1");
    checkOtherCallers();
}

// Guards against a statement that runs for the wrong organisation after a lost answer.
BOOST_FIXTURE_TEST_CASE(sessionGoesOnForItsNewOrganisationAfterLostAnswer, Fixture)
{
    Caller mover(first->callerAddress());
    mover.firstLine("START main moving");
    group.loseNextAnswer();
    BOOST_TEST(mover.firstLine("QUERY m1 WRITE a 1").starts_with("ERROR UNKNOWN"));
    moveKey("t2");
    BOOST_TEST(mover.firstLine("QUERY m2 WRITE a 2").starts_with("DONE"));
    BOOST_TEST(lastRunOf("m2") == "t2");
    checkOtherCallers();
}

// Guards against a transaction that goes on at another dispatcher: when the VM that dispatches
// ends, the transaction is rolled back, and the session goes on for the key's new organisation.
BOOST_FIXTURE_TEST_CASE(keyMovesWhileDispatcherChanges, Fixture)
{
    awaitService(second->callerAddress());
    Caller mover(first->callerAddress());
    mover.firstLine("START main moving");
    mover.firstLine("QUERY m1 BEGIN");
    mover.firstLine("QUERY m2 WRITE a 1");
    second = nullptr;
    moveKey("t2");
    BOOST_TEST(mover.firstLine("QUERY m3 COMMIT").starts_with("ERROR ABORTED"));
    BOOST_TEST(mover.firstLine("QUERY m4 WRITE b 1").starts_with("DONE"));
    BOOST_TEST(lastRunOf("m4") == "t2");
    BOOST_TEST(group.committed().count("a") == 0U);
}

// Guards against a statement that waits at its dispatcher while its key moves, and then runs for
// the former organisation. It is refused when the configuration changes, not at its deadline.
BOOST_FIXTURE_TEST_CASE(waitingStatementEndsWhenItsKeyMoves, Fixture)
{
    store.put("op", "config", tenants(++version, "t1", 4));
    std::this_thread::sleep_for(200ms);
    // Transactions hold all connections to the primary; reads go to replicas.
    std::vector<std::unique_ptr<Caller>> holders;
    while (holders.size() < 3) {
        holders.push_back(std::make_unique<Caller>(first->callerAddress()));
        holders.back()->firstLine("START main k2");
        holders.back()->firstLine("QUERY h1 BEGIN");
        BOOST_TEST(holders.back()->firstLine("QUERY h2 WRITE h 1").starts_with("DONE"));
    }
    Caller mover(first->callerAddress());
    mover.firstLine("START main moving");
    mover.sendRaw("QUERY m1 WRITE a 1\r\n");
    BOOST_TEST(!mover.isRefusedWithin(100ms));
    store.put("op", "config", tenants(++version, "t2", 4));
    awaitOrganisation("t2", "ledger");
    BOOST_TEST(mover.isRefusedWithin(300ms));
    holders.clear();
    BOOST_TEST(mover.firstLine("QUERY m2 READ a").starts_with("ERROR BUSY"));
    std::this_thread::sleep_for(100ms);
    BOOST_TEST(lastRunOf("m1").empty());
    BOOST_TEST(group.committed().count("a") == 0U);
}
