#include "gentianplank/node/traffic/peer_mesh.h"

#include "gentianplank/base/testing/reserved_address.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t OldIncarnation = 1;
constexpr uint64_t NewIncarnation = 2;

// A VM that calls a second one, whose process keeps the statements until the test answers them.
struct Fixture
{
    Fixture()
    {
        PeerMeshHandler farHandler;
        farHandler.onRequest = [this](const std::shared_ptr<PeerLink> &link,
                                      const peer::v1::Frame &frame) {
            if (frame.has_execute()) {
                requests.emplace_back(link, frame.execute().call());
            }
        };
        farHandler.onOriginClosed = [](uint64_t) {};
        far = std::make_unique<PeerMesh>(ioContext, "far", NewIncarnation, std::move(farHandler));
        PeerMeshHandler nearHandler;
        nearHandler.onOriginClosed = [](uint64_t) {};
        nearHandler.onReply = [](const std::string &, const peer::v1::Frame &) {};
        nearHandler.onLinkLost = [this](const std::string &) { ++lostLinks; };
        near = std::make_unique<PeerMesh>(ioContext, "near", 7, std::move(nearHandler));
        BOOST_REQUIRE(!far->listen(address));
    }

    void listFarVm(uint64_t incarnation)
    {
        const std::vector<VmRecord> vms{{"far", address, {"a", "r"}, incarnation, false}};
        near->setPeers(vms);
    }

    void call()
    {
        near->call("far", {}, [this](StatementOutcome it) { outcome = std::move(it); });
    }

    void runFor(Duration time)
    {
        ioContext.restart();
        ioContext.run_for(time);
    }

    boost::asio::io_context ioContext;
    std::string address = reserveAddress();
    std::unique_ptr<PeerMesh> far;
    std::unique_ptr<PeerMesh> near;
    std::vector<std::pair<std::shared_ptr<PeerLink>, uint64_t>> requests;
    std::optional<StatementOutcome> outcome;
    int lostLinks = 0;
};

} // namespace

// VMs of a restarting fleet call new processes before the store lists them. When it did, the link
// to that same process was closed, with an unknown outcome for every outstanding statement.
BOOST_FIXTURE_TEST_CASE(keepsLinkWhenItsProcessIsListedLater, Fixture)
{
    listFarVm(OldIncarnation);
    call();
    runFor(100ms);
    BOOST_REQUIRE(requests.size() == 1U);
    listFarVm(NewIncarnation);
    runFor(50ms);
    BOOST_TEST(lostLinks == 0);
    BOOST_TEST(!outcome);
    peer::v1::Frame reply;
    reply.mutable_answer()->set_call(requests[0].second);
    requests[0].first->send(reply);
    runFor(100ms);
    BOOST_REQUIRE(outcome);
    BOOST_TEST((outcome->execution == StatementExecution::Answered));
}

// Statements on a link to a process that has ended must not wait for an answer.
BOOST_FIXTURE_TEST_CASE(closesLinkToEarlierProcess, Fixture)
{
    listFarVm(NewIncarnation);
    call();
    runFor(100ms);
    BOOST_REQUIRE(requests.size() == 1U);
    listFarVm(NewIncarnation + 1);
    runFor(50ms);
    BOOST_TEST(lostLinks == 1);
    BOOST_REQUIRE(outcome);
    BOOST_TEST((outcome->execution == StatementExecution::Unknown));
}
