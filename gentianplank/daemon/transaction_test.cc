#include "gentianplank/daemon/testing/fleet_fixture.h"
#include "gentianplank/statement/transaction_limits.h"

#include <boost/test/unit_test.hpp>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>

#include <thread>

namespace gentianplank {

namespace {

using caller::v1::TransactReply;
using caller::v1::TransactRequest;

// A caller's transaction on its own channel.
class TestTransaction
{
public:
    explicit TestTransaction(const std::string &address)
        : m_stub(caller::v1::Caller::NewStub(
              grpc::CreateChannel(address, grpc::InsecureChannelCredentials())))
    {
        m_context.AddMetadata("authorization", "Bearer " + TestKey);
        m_context.set_deadline(std::chrono::system_clock::now() + std::chrono::seconds(20));
        m_stream = m_stub->Transact(&m_context);
        TransactRequest request;
        request.mutable_begin()->set_route(TestRoute);
        isOpen = step(request);
    }

    ~TestTransaction() { m_context.TryCancel(); }

    bool step(const TransactRequest &request)
    {
        return m_stream->Write(request) && m_stream->Read(&reply);
    }

    bool execute(const common::v1::Statement &statement)
    {
        TransactRequest request;
        *request.mutable_statement() = statement;
        return step(request);
    }

    bool commit(const std::string &requestId)
    {
        TransactRequest request;
        request.mutable_commit()->set_request_id(requestId);
        return step(request);
    }

    Refusal refusal() { return fromStatus(m_stream->Finish(), ExecutionOutcome::Unknown); }

    TransactReply reply;
    bool isOpen = false;

private:
    std::unique_ptr<caller::v1::Caller::Stub> m_stub;
    grpc::ClientContext m_context;
    std::unique_ptr<grpc::ClientReaderWriter<TransactRequest, TransactReply>> m_stream;
};

standin::v1::MemberFault memberFault(const std::string &member)
{
    standin::v1::MemberFault fault;
    fault.set_group(TestGroup);
    fault.set_member(member);
    return fault;
}

std::string valueOf(FleetFixture &fleet, size_t vm, const std::string &key)
{
    const auto reply = fleet.caller(vm).execute(getStatement(key), "");
    return reply && reply->rows_size() > 0 ? reply->rows(0).values(1) : std::string();
}

} // namespace

// The member runs the commit but its answer is lost. The VM resolves the outcome by the request id,
// and a repeated commit must not run again.
BOOST_AUTO_TEST_CASE(commitWithLostAnswerIsResolvedAndRunsOnce)
{
    FleetFixture fleet;
    TestTransaction transaction(fleet.settings(0).listen.callers);
    BOOST_REQUIRE(transaction.isOpen);
    BOOST_REQUIRE(transaction.execute(addStatement("advance", 100)));
    standin::v1::MemberFault fault = memberFault("a");
    fault.set_lose_answers(1);
    fleet.group().setFault(fault);
    BOOST_REQUIRE(transaction.commit("c1"));
    BOOST_TEST(transaction.reply.committed());
    BOOST_TEST(transaction.reply.replayed());

    // A repeated commit has the same request id, scoped to its organisation, also through another
    // VM.
    TestTransaction again(fleet.settings(1).listen.callers);
    BOOST_REQUIRE(again.execute(addStatement("advance", 100)));
    BOOST_REQUIRE(again.commit("c1"));
    BOOST_TEST(again.reply.replayed());
    BOOST_TEST(valueOf(fleet, 2, "advance") == "100");
    bool isScoped = false;
    for (const std::string &it : fleet.group().received()) {
        isScoped =
            isScoped || it.find("request_id: \"" + TestOrganisation + "/c1\"") != std::string::npos;
    }
    BOOST_TEST(isScoped);
}

// The transaction stays open beyond the shutdown grace period. None of its writes may remain.
BOOST_AUTO_TEST_CASE(vmShutdownRollsBackOpenTransaction)
{
    FleetOptions options;
    options.shutdownGrace = std::chrono::milliseconds(300);
    FleetFixture fleet(options);
    for (size_t vm = 0; vm < 2; ++vm) {
        TestTransaction transaction(fleet.settings(vm).listen.callers);
        BOOST_REQUIRE(transaction.isOpen);
        BOOST_REQUIRE(transaction.execute(putStatement("half", "done")));
        fleet.stopDaemon(vm);
        BOOST_TEST(!transaction.execute(putStatement("other", "half")));
        const auto after = fleet.caller(2).execute(addStatement("after", 1), "");
        BOOST_REQUIRE(after.has_value());
        BOOST_TEST(valueOf(fleet, 2, "half").empty());
        BOOST_TEST(valueOf(fleet, 2, "other").empty());
    }
}

// An idle transaction would hold the member's only slot for ever.
BOOST_AUTO_TEST_CASE(idleTransactionIsRolledBackWithIdleRefusal)
{
    FleetOptions options;
    options.group.slots = 1;
    FleetFixture fleet(options);
    TestTransaction idle(fleet.settings(0).listen.callers);
    BOOST_REQUIRE(idle.execute(putStatement("idle", "1")));
    // The rollback frees the only slot without a further request of the idle transaction.
    const auto write =
        fleet.caller(1).execute(putStatement("k", "v"), "w1", 2 * TransactionIdleLimit);
    BOOST_REQUIRE(write.has_value());
    BOOST_TEST(!idle.commit("c2"));
    const Refusal refusal = idle.refusal();
    BOOST_TEST((refusal.outcome == ExecutionOutcome::NotRun));
    BOOST_TEST(refusal.message.find("idle") != std::string::npos);
    BOOST_TEST(valueOf(fleet, 1, "idle").empty());
}

} // namespace gentianplank
