#include "gentianplank/daemon/entry/router.h"

#include "gentianplank/base/answer_digest.h"
#include "gentianplank/base/testing/reserved_address.h"
#include "gentianplank/daemon/entry/peer_service.h"
#include "gentianplank/daemon/testing/fleet_fixture.h"

#include <boost/test/unit_test.hpp>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <stdexcept>

namespace gentianplank {

namespace {

// Records its requests and returns a fixed refusal, or success if none is set.
class RecordingRunner : public StatementRunner
{
public:
    tl::expected<StatementAnswer, Refusal> execute(const StatementRequest &request) override
    {
        requests.push_back(request);
        if (refusal) {
            return tl::unexpected(*refusal);
        }
        return StatementAnswer{};
    }

    tl::expected<PulledAnswer, Refusal> pull(const StatementRequest &request,
                                             const ChunkSink & /*sink*/) override
    {
        requests.push_back(request);
        return PulledAnswer{AnswerDigest().end(), "a"};
    }

    tl::expected<std::unique_ptr<TransactionRun>, Refusal>
    begin(const StatementRequest & /*request*/) override
    {
        return tl::unexpected(refuse(Reason::NoPrimary, ExecutionOutcome::NotRun, "none"));
    }

    std::vector<StatementRequest> requests;
    std::optional<Refusal> refusal;
};

constexpr uint64_t ChunkCount = 3;

common::v1::Chunk chunkOf(uint64_t index)
{
    common::v1::Chunk chunk;
    chunk.set_index(index);
    chunk.add_rows()->add_values(std::to_string(index));
    return chunk;
}

// Streams an answer of ChunkCount chunks, but throws after `failsAfter` chunks if that is less.
class StreamingRunner : public RecordingRunner
{
public:
    explicit StreamingRunner(uint64_t failsAfter)
        : m_failsAfter(failsAfter)
    {}

    tl::expected<PulledAnswer, Refusal> pull(const StatementRequest & /*request*/,
                                             const ChunkSink &sink) override
    {
        AnswerDigest digest;
        for (uint64_t i = 0; i < ChunkCount; ++i) {
            if (i == m_failsAfter) {
                // The gRPC server ends the call without error details, as after a crash of the VM.
                throw std::runtime_error("died");
            }
            const common::v1::Chunk chunk = chunkOf(i);
            digest.add(chunk.rows(0));
            sink(chunk);
        }
        return PulledAnswer{digest.end(), "a"};
    }

private:
    uint64_t m_failsAfter;
};

// Returns how many VMs precede "self" in the group's order of dispatchers.
size_t rankOfSelf(VmDirectory directory, const std::string &group)
{
    size_t n = 0;
    std::string first = dispatcherOf(directory, group, "gulf-maine");
    while (first != "self") {
        const auto it = std::find_if(directory.vms.begin(), directory.vms.end(),
                                     [&](const VmInfo &vm) { return vm.name == first; });
        it->reachable = false;
        first = dispatcherOf(directory, group, "gulf-maine");
        ++n;
    }
    return n;
}

// The inputs of a router whose group has unreachable VMs as its first dispatchers and "self" as its
// last one.
struct UnreachableDispatcherFixture
{
    explicit UnreachableDispatcherFixture(size_t unreachableCount = 1)
    {
        VmDirectory directory;
        const Place place{"portland", "gulf-maine"};
        directory.vms = {{"self", 1, reserveAddress(), place, false, true}};
        const std::string address = reserveAddress();
        for (size_t i = 0; i < unreachableCount; ++i) {
            directory.vms.push_back({"dead-" + std::to_string(i), 1, address, place, false, true});
        }
        configuration::v1::Target target;
        target.add_members()->set_region(place.region);
        int n = 0;
        do {
            target.set_group("g" + std::to_string(n++));
        } while (rankOfSelf(directory, target.group()) != unreachableCount);
        groups.publish(std::make_shared<const GroupView>(makeGroupView(target)));
        fleetState.vms.set(std::make_shared<const VmDirectory>(directory));
        request.group = target.group();
        request.requestId = "dredge-co/r1";
        request.deadline = steadyNow() + std::chrono::seconds(10);
        self = directory.vms.front();
        unservedAddress = address;
    }

    FleetState fleetState;
    GroupViewRegistry groups;
    ChannelFactory channels{plainText()};
    VmInfo self;
    std::string unservedAddress;
    RecordingRunner local;
    StatementRequest request;

    static TlsSettings plainText()
    {
        TlsSettings settings;
        settings.plainText = true;
        return settings;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(lostForwardIsRetriedAtNextDispatcherWithSameRequestId)
{
    UnreachableDispatcherFixture fleet;
    Router router(fleet.fleetState, fleet.groups, fleet.channels, fleet.self, fleet.local);
    BOOST_TEST(router.execute(fleet.request).has_value());
    BOOST_REQUIRE(fleet.local.requests.size() == 1U);
    BOOST_TEST(fleet.local.requests.front().requestId == fleet.request.requestId);
    BOOST_TEST(fleet.local.requests.front().retried);

    StatementRequest pull = fleet.request;
    pull.statement.set_read_only(true);
    BOOST_TEST(router.pull(pull, [](const auto &) { return true; }).has_value());
}

// The dispatcher fails after two chunks. The caller must get each chunk exactly once.
BOOST_AUTO_TEST_CASE(pullResumesAtNextDispatcherAfterDispatcherFails)
{
    UnreachableDispatcherFixture fleet;
    StreamingRunner failing(2);
    StreamingRunner local(ChunkCount + 1);
    const auto service = makePeerService({failing, {}, {}, {}, {}, {}});
    grpc::ServerBuilder builder;
    builder.AddListeningPort(fleet.unservedAddress, grpc::InsecureServerCredentials());
    builder.RegisterService(service.get());
    const auto server = builder.BuildAndStart();
    Router router(fleet.fleetState, fleet.groups, fleet.channels, fleet.self, local);
    fleet.request.statement.set_read_only(true);
    std::string text;
    const auto answer = router.pull(fleet.request, [&](const common::v1::Chunk &chunk) {
        text += std::to_string(chunk.index()) + ":" + chunk.rows(0).values(0) + " ";
        return true;
    });
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(text == "0:0 1:1 2:2 ");
    BOOST_TEST(answer->end.row_count() == ChunkCount);
}

// The lost forward may have run. Only an abort recorded by the group proves that it can't; a
// refusal for any other reason must report the outcome as unknown.
BOOST_AUTO_TEST_CASE(refusalAfterLostForwardIsNotRunOnlyIfGroupAborts)
{
    UnreachableDispatcherFixture fleet;
    Router router(fleet.fleetState, fleet.groups, fleet.channels, fleet.self, fleet.local);
    fleet.local.refusal = refuse(Reason::Overloaded, ExecutionOutcome::NotRun, "full");
    auto answer = router.execute(fleet.request);
    BOOST_REQUIRE(!answer.has_value());
    BOOST_TEST((answer.error().outcome == ExecutionOutcome::Unknown));
    BOOST_TEST(answer.error().retryAfter.count() > 0);
    fleet.local.refusal = refuse(Reason::Aborted, ExecutionOutcome::NotRun, "barred");
    answer = router.execute(fleet.request);
    BOOST_REQUIRE(!answer.has_value());
    BOOST_TEST((answer.error().outcome == ExecutionOutcome::NotRun));
}

// The unreachable dispatchers outnumber the retries of a new budget, so the request must fail
// before it reaches the local runner.
BOOST_AUTO_TEST_CASE(lostForwardsAreRetriedWithinRetryBudget)
{
    UnreachableDispatcherFixture fleet(15);
    Router router(fleet.fleetState, fleet.groups, fleet.channels, fleet.self, fleet.local);
    const auto answer = router.execute(fleet.request);
    BOOST_REQUIRE(!answer.has_value());
    BOOST_TEST(fleet.local.requests.empty());
}

// A request after a lost forward must not try the unreachable VM again, and so isn't a retry
// itself.
BOOST_AUTO_TEST_CASE(unreachableVmIsSkippedByLaterRequests)
{
    UnreachableDispatcherFixture fleet;
    Router router(fleet.fleetState, fleet.groups, fleet.channels, fleet.self, fleet.local);
    for (size_t i = 0; i < 50; ++i) {
        BOOST_TEST(router.execute(fleet.request).has_value());
    }
    BOOST_TEST(!fleet.local.requests.back().retried);
}

} // namespace gentianplank
