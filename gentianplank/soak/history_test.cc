#include "gentianplank/soak/history.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;

// Each test plants one fault in a history that keeps all promises, and expects its report.
namespace {

struct Fixture
{
    Fixture()
    {
        CallerOperation write;
        write.statements = {"w1"};
        write.organisation = "t1";
        write.item = "a";
        write.written = "v1";
        write.end = OperationEnd::Done;
        CallerOperation read = write;
        read.statements = {"r1"};
        read.written = "";
        read.read = "v1";
        history.operations = {write, read};
        history.runs = {{"w1", "WRITE a v1", "t1", 0, 1, {}, {}},
                        {"r1", "READ a", "t1", 1, 2, {}, {}}};
        history.commits = {{"a", "v1", 1}};
    }

    std::string promise() const
    {
        const auto found = check(history);
        return found.empty() ? "" : found[0].promise;
    }

    History history;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(faultlessHistoryHasNoViolation, Fixture)
{
    BOOST_TEST(promise() == "");
}

BOOST_FIXTURE_TEST_CASE(reportsWriteThatRanTwice, Fixture)
{
    history.commits.push_back({"a", "v1", 1});
    BOOST_TEST(promise() == "a write runs at most once");
}

BOOST_FIXTURE_TEST_CASE(reportsRefusedWriteThatIsKept, Fixture)
{
    history.operations[0].end = OperationEnd::Refused;
    history.operations.pop_back();
    BOOST_TEST(promise() == "\"not run\" is true");
}

BOOST_FIXTURE_TEST_CASE(reportsAcknowledgedWriteThatNeverRan, Fixture)
{
    history.commits.clear();
    BOOST_TEST(promise() == "a member's success is real");
}

BOOST_FIXTURE_TEST_CASE(reportsReadOlderThanOwnWrite, Fixture)
{
    history.operations[1].read = "v0";
    BOOST_TEST(promise() == "a session reads its own writes");
}

BOOST_FIXTURE_TEST_CASE(acceptsReadOfWriteWithUnknownOutcome, Fixture)
{
    CallerOperation unknown = history.operations[0];
    unknown.statements = {"w2"};
    unknown.written = "v2";
    unknown.end = OperationEnd::Unknown;
    history.operations.insert(history.operations.begin() + 1, unknown);
    history.operations.back().read = "v2";
    BOOST_TEST(promise() == "");
}

BOOST_FIXTURE_TEST_CASE(reportsStatementOfAnotherOrganisation, Fixture)
{
    history.runs[1].organisation = "t2";
    BOOST_TEST(promise() == "a statement runs for its key's organisation");
}

BOOST_FIXTURE_TEST_CASE(reportsUseOfWithdrawnKey, Fixture)
{
    history.operations[1].isAfterWithdrawal = true;
    BOOST_TEST(promise() == "a withdrawn key stops working");
}

BOOST_FIXTURE_TEST_CASE(reportsStatementOfFormerHolderOfMovedKey, Fixture)
{
    const Instant start{std::chrono::hours(1)};
    history.revocationLimit = std::chrono::seconds(3);
    history.movingKey = {{"t1", start, start + std::chrono::seconds(5)},
                         {"t2", start + std::chrono::seconds(4)}};
    for (CallerOperation &it : history.operations) {
        it.organisation = "";
    }
    history.runs[0].at = start;
    history.runs[1].at = start + std::chrono::seconds(8);
    BOOST_TEST(promise() == "");
    history.runs[1].at += std::chrono::milliseconds(1);
    BOOST_TEST(promise() == "a statement runs for its key's organisation");
    history.runs[1].organisation = "t2";
    BOOST_TEST(promise() == "");
}

BOOST_FIXTURE_TEST_CASE(reportsTransactionOnTwoConnections, Fixture)
{
    history.operations[0].isTransaction = true;
    history.operations[0].statements = {"w1", "c1"};
    history.runs.push_back({"c1", "COMMIT", "t1", 0, 3, {}, {}});
    BOOST_TEST(promise() == "a transaction stays on one connection");
}

BOOST_FIXTURE_TEST_CASE(acceptsTransactionThatWasOpenedAnew, Fixture)
{
    history.operations[0].isTransaction = true;
    history.operations[0].statements = {"w1", "c1"};
    history.runs.push_back({"w1", "WRITE a v1", "t1", 0, 3, {}, {}});
    history.runs.push_back({"c1", "COMMIT", "t1", 0, 3, {}, {}});
    BOOST_TEST(promise() == "");
}

BOOST_FIXTURE_TEST_CASE(reportsRequestCutOffByPlannedStop, Fixture)
{
    history.operations[1].end = OperationEnd::Cut;
    history.operations[1].isDuringPlannedStop = true;
    BOOST_TEST(promise() == "a planned stop cuts off no request");
}
