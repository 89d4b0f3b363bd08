#include "gentianplank/node/control/feed_relay.h"

#include <boost/test/unit_test.hpp>

#include <thread>
#include <utility>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t Era = 1;

StoreVersion version(uint64_t number)
{
    return {Era, number};
}

// A store that answers reads at once and holds feed requests until the test answers them.
class MockStore : public RowStore
{
public:
    void read(RowRange, Duration, std::function<void(RowResult<RowSet>)> done) override
    {
        done(nextRead);
    }
    void change(RowTransaction, Duration, std::function<void(RowResult<StoreVersion>)>) override {}
    void changesAfter(std::string, StoreVersion, Duration wait, Duration,
                      std::function<void(RowResult<RowSet>)> done) override
    {
        feed = std::move(done);
        lastWait = wait;
        ++feeds;
    }

    RowSet nextRead{{{"t", "a", "1", version(3), false}}, version(4), false, bootNow()};
    std::function<void(RowResult<RowSet>)> feed;
    int feeds = 0;
    Duration lastWait{};
};

// A relay that follows the store, and a VM that reads through the relay.
struct Fixture
{
    Fixture()
    {
        TableFollowerListener listener;
        listener.onChanges = [](const std::vector<StoredRow> &) {};
        listener.onReachable = [](bool, const std::string &) {};
        listener.onUpToDate = [this](BootInstant) {
            if (relayFollower) {
                relay.onFollowerAdvanced("t", *relayFollower);
            }
        };
        const Scheduler scheduler = [this](Duration delay, std::function<void()> task) {
            tasks.push_back(std::move(task));
            lastDelay = delay;
        };
        TableFollowerSettings settings;
        settings.startupPeriod = Duration::zero();
        relayFollower =
            std::make_unique<TableFollower>(relayStore, scheduler, "t", settings, listener);
        relayFollower->start();
        RelayedRowStoreEnvironment environment;
        environment.selectRelay =
            [this](const std::set<std::string> &avoided) -> std::optional<RelayChoice> {
            if (!relayName || avoided.count(*relayName) != 0) {
                return std::nullopt;
            }
            return RelayChoice{*relayName, true};
        };
        environment.send = [this](const std::string &vm, const peer::v1::Frame &frame) {
            ++requestCount;
            if (dropsRequests) {
                return;
            }
            relay.handleRequest(frame.feed_ask(), relayFollower.get(),
                                [this, vm](const peer::v1::Frame &reply) {
                                    relayedStore->handleAnswer(vm, reply.feed_answer());
                                });
        };
        environment.schedule = scheduler;
        relayedStore = std::make_unique<RelayedRowStore>(directStore, std::move(environment));
        requestChanges(4);
        BOOST_REQUIRE(result);
        result.reset();
        requestCount = 0;
    }

    void requestChanges(uint64_t after) { requestChanges(version(after)); }
    void requestChanges(const StoreVersion &after)
    {
        result.reset();
        relayedStore->changesAfter("t", after, 1s, 2s,
                                   [this](const RowResult<RowSet> &it) { result = it; });
    }

    MockStore relayStore;
    MockStore directStore;
    FeedRelay relay;
    std::vector<std::function<void()>> tasks;
    Duration lastDelay{};
    std::unique_ptr<TableFollower> relayFollower;
    std::unique_ptr<RelayedRowStore> relayedStore;
    std::optional<std::string> relayName = "vm-1";
    bool dropsRequests = false;
    int requestCount = 0;
    std::optional<RowResult<RowSet>> result;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(relayForwardsChangeAsSoonAsKnown, Fixture)
{
    requestChanges(4);
    BOOST_TEST(!result);
    relayStore.feed(RowSet{{{"t", "b", "2", version(6), false}}, version(7), false, bootNow()});
    BOOST_REQUIRE(result && *result);
    BOOST_TEST((*result)->rows.at(0).key == "b");
    BOOST_TEST((*result)->version == version(7));
    BOOST_TEST(directStore.feeds == 0);
}

// Guards against a withdrawn key that is accepted for too long, which happens if a relayed proof
// looks newer than the relay's own.
BOOST_FIXTURE_TEST_CASE(relayedProofIsNoNewerThanRelaysProof, Fixture)
{
    requestChanges(4);
    const BootInstant provenAt = bootNow() - 700ms;
    relayStore.feed(RowSet{{}, version(9), false, provenAt + 500ms});
    BOOST_REQUIRE(result && *result);
    BOOST_TEST(((*result)->provenAt <= relayFollower->provenAt()));
    BOOST_TEST(((*result)->provenAt >= relayFollower->provenAt() - 100ms));
}

BOOST_FIXTURE_TEST_CASE(readsFromStoreAfterRelayIsLost, Fixture)
{
    dropsRequests = true;
    requestChanges(4);
    relayedStore->handlePeerLost("vm-2");
    BOOST_TEST(!result);
    relayedStore->handlePeerLost("vm-1");
    BOOST_REQUIRE(result && !*result);
    requestChanges(4);
    BOOST_TEST(directStore.feeds == 1);
    BOOST_TEST(requestCount == 1);
}

BOOST_FIXTURE_TEST_CASE(requestToSilentRelayTimesOut, Fixture)
{
    dropsRequests = true;
    requestChanges(4);
    BOOST_REQUIRE(!tasks.empty());
    tasks.back()();
    BOOST_REQUIRE(result && !*result);
    BOOST_TEST(((*result).error().fault == RowFault::NotDone));
}

// Guards against followers that keep waiting for a relay which has lost the store or the history
// they need.
BOOST_FIXTURE_TEST_CASE(relayRepliesUnknownAfterLosingHistoryOrStore, Fixture)
{
    requestChanges(2);
    BOOST_REQUIRE(result && !*result);
    relayStore.feed(tl::make_unexpected(RowError{RowFault::NotDone, "test", {}}));
    relayedStore = nullptr;
    int unknownCount = 0;
    peer::v1::FeedAsk request;
    request.set_table("t");
    request.set_after(4);
    const auto count = [&](const peer::v1::Frame &it) {
        unknownCount += it.feed_answer().unknown() ? 1 : 0;
    };
    relay.handleRequest(request, relayFollower.get(), count);
    BOOST_TEST(unknownCount == 0);
    relay.reportStoreLost("t");
    BOOST_TEST(unknownCount == 1);
    relay.handleRequest(request, relayFollower.get(), count);
    BOOST_TEST(unknownCount == 2);
    // The store is reachable again.
    BOOST_REQUIRE(!tasks.empty());
    tasks.back()();
    relayStore.feed(RowSet{{}, version(9), false, bootNow()});
    request.set_after(9);
    relay.handleRequest(request, relayFollower.get(), count);
    BOOST_TEST(unknownCount == 2);
}

// Guards against a wave of store reads when the first VM of a region stops: the VMs that followed
// it lost it at the same moment, reported that to each other, and all read the store.
BOOST_FIXTURE_TEST_CASE(waitsForRelayThatJustLostItsSource, Fixture)
{
    relayStore.feed(tl::make_unexpected(RowError{RowFault::NotDone, "test", {}}));
    requestChanges(4);
    BOOST_TEST(!result);
    BOOST_REQUIRE(!tasks.empty());
    tasks.front()();
    relayStore.feed(RowSet{{}, version(9), false, bootNow()});
    BOOST_REQUIRE(result && *result);
    BOOST_TEST(directStore.feeds == 0);
}

// Guards against mistaking a lost relay for a silent one. All followers of a relay that stopped
// while they waited read the store instead of the next relay, for five seconds each.
BOOST_FIXTURE_TEST_CASE(switchesToNextRelayWhenLinkIsLostWhileWaiting, Fixture)
{
    requestChanges(4);
    std::this_thread::sleep_for(600ms);
    relayedStore->handlePeerLost("vm-1");
    BOOST_REQUIRE(result && !*result);
    relayName = "vm-2";
    requestChanges(4);
    BOOST_REQUIRE(result && *result);
    BOOST_TEST(requestCount == 2);
    BOOST_TEST(directStore.feeds == 0);
}

// Guards against overrating the age of a new relay's proofs. A VM that had changed its relay twice
// knew the clock offset of neither, and both waited for a change; so it took their proofs to be as
// old as its requests, one of them sent 3 s before.
BOOST_FIXTURE_TEST_CASE(firstRequestToNewRelayIsAnsweredAtOnce, Fixture)
{
    for (const std::string vm : {"vm-2", "vm-3"}) {
        relayName = vm;
        requestChanges(4);
        BOOST_REQUIRE(result && *result);
        requestChanges(4);
        BOOST_TEST(!result);
        std::this_thread::sleep_for(100ms);
        relayStore.feed(RowSet{{}, version(9), false, bootNow()});
        BOOST_REQUIRE(result && *result);
        BOOST_TEST((bootNow() - (*result)->provenAt < 50ms));
    }
    // The relay's process was restarted.
    relayedStore->handlePeerLost("vm-3");
    requestChanges(9);
    BOOST_TEST((result && *result));
}

// Guards against a stopping relay that keeps its followers waiting until its process ends; the
// proof of one follower expired meanwhile.
BOOST_FIXTURE_TEST_CASE(stoppedRelayRejectsWaitingAndLaterRequests, Fixture)
{
    relayStore.feed(RowSet{{}, version(4), false, bootNow()});
    int unknownCount = 0;
    const auto count = [&](const peer::v1::Frame &it) {
        unknownCount += it.feed_answer().unknown() ? 1 : 0;
    };
    peer::v1::FeedAsk request;
    request.set_table("t");
    request.set_after(4);
    relay.handleRequest(request, relayFollower.get(), count);
    request.set_patient(true);
    relay.handleRequest(request, relayFollower.get(), count);
    BOOST_TEST(unknownCount == 0);
    relay.stop();
    BOOST_TEST(unknownCount == 2);
    relay.handleRequest(request, relayFollower.get(), count);
    BOOST_TEST(unknownCount == 3);
}

// Guards against waiting as long for an immediate read as for a change, which uses up the proof's
// validity.
BOOST_FIXTURE_TEST_CASE(immediateReadHasShortTimeout, Fixture)
{
    dropsRequests = true;
    requestChanges(4);
    BOOST_TEST((lastDelay == 2s));
    relayedStore->handlePeerLost("vm-1");
    relayName = "vm-2";
    requestChanges(4);
    BOOST_TEST((lastDelay <= 600ms));
}

// Guards against trying another relay after a timeout: only the store is certain to answer before
// the proof expires. It is read once, without waiting for a change.
BOOST_FIXTURE_TEST_CASE(readsStoreOnceAfterRelayTimesOut, Fixture)
{
    dropsRequests = true;
    requestChanges(4);
    std::this_thread::sleep_for(1500ms);
    tasks.back()();
    BOOST_REQUIRE(result && !*result);
    relayName = "vm-2";
    dropsRequests = false;
    requestChanges(4);
    BOOST_TEST(requestCount == 1);
    BOOST_REQUIRE(directStore.feeds == 1);
    BOOST_TEST((directStore.lastWait == 0s));
    directStore.feed(RowSet{{}, version(4), false, bootNow()});
    requestChanges(4);
    BOOST_TEST(requestCount == 2);
    BOOST_TEST(directStore.feeds == 1);
}

// Guards against followers that stay with a relay which has lost the store; they have to read the
// store themselves.
BOOST_FIXTURE_TEST_CASE(waitingRequestFailsWhenRelayReportsStoreLoss, Fixture)
{
    requestChanges(4);
    BOOST_TEST(!result);
    relay.reportStoreLost("t");
    BOOST_REQUIRE(result);
    BOOST_TEST(!*result);
    requestChanges(4);
    BOOST_TEST(directStore.feeds == 1);
}

// Guards against load on the store during its outage: each VM of a fleet called it several times a
// second.
BOOST_FIXTURE_TEST_CASE(longPollsRelayAfterRelayAndStoreFailed, Fixture)
{
    const auto unavailable = tl::make_unexpected(RowError{RowFault::NotDone, "test", {}});
    requestChanges(4);
    relayStore.feed(unavailable);
    relay.reportStoreLost("t");
    requestChanges(4);
    BOOST_REQUIRE(directStore.feeds == 1);
    directStore.feed(unavailable);
    BOOST_REQUIRE(result && !*result);
    relayName = "vm-2";
    requestChanges(4);
    relay.reportStoreLost("t");
    BOOST_TEST(!result);
    BOOST_TEST(directStore.feeds == 1);
    // The relay reaches the store again.
    BOOST_REQUIRE(!tasks.empty());
    for (const auto &it : std::exchange(tasks, {})) {
        it();
    }
    relayStore.feed(RowSet{{}, version(9), false, bootNow()});
    BOOST_REQUIRE(result);
}

// Guards against waiting for a change after a failure, which has used up some of the proof's
// validity: the next relay answers at once with what it has.
BOOST_FIXTURE_TEST_CASE(nextRelayIsReadImmediatelyAfterFailure, Fixture)
{
    dropsRequests = true;
    requestChanges(4);
    relayedStore->handlePeerLost("vm-1");
    dropsRequests = false;
    relayName = "vm-2";
    requestChanges(4);
    BOOST_REQUIRE(result && *result);
    BOOST_TEST((*result)->rows.empty());
    requestChanges(4);
    BOOST_TEST(!result);
}

// Guards against alternating between sources: a VM whose calls the store rejected read its relay,
// which answered, and the store by turns.
BOOST_FIXTURE_TEST_CASE(keepsUsingAnsweringRelayAfterOthersFailed, Fixture)
{
    const auto unavailable = tl::make_unexpected(RowError{RowFault::NotDone, "test", {}});
    dropsRequests = true;
    for (const std::string vm : {"vm-1", "vm-2"}) {
        relayName = vm;
        requestChanges(4);
        relayedStore->handlePeerLost(vm);
    }
    relayName = "vm-3";
    requestChanges(4);
    BOOST_REQUIRE(directStore.feeds == 1);
    directStore.feed(unavailable);
    dropsRequests = false;
    requestChanges(4);
    BOOST_REQUIRE(result && *result);
    requestChanges(4);
    BOOST_TEST(!result);
    BOOST_TEST(directStore.feeds == 1);
}

// Guards against saturating a relay's slow link with a large configuration that it sends to each VM
// of a zone.
BOOST_FIXTURE_TEST_CASE(compressesLargeValues, Fixture)
{
    std::string value;
    for (int i = 0; i < 2000; ++i) {
        value += "{\"name\":\"route-" + std::to_string(i) + "\"}";
    }
    size_t sentBytes = 0;
    relayStore.feed(RowSet{{{"t", "b", value, version(6), false}}, version(7), false, bootNow()});
    peer::v1::FeedAsk direct;
    direct.set_table("t");
    direct.set_after(4);
    relay.handleRequest(direct, relayFollower.get(),
                        [&](const peer::v1::Frame &it) { sentBytes = it.ByteSizeLong(); });
    BOOST_TEST(sentBytes > 0U);
    BOOST_TEST(sentBytes < value.size() / 3);
    requestChanges(4);
    BOOST_REQUIRE(result && *result);
    BOOST_TEST(((*result)->rows.at(0).value == value));
}

BOOST_FIXTURE_TEST_CASE(readsAllRowsFromRelay, Fixture)
{
    std::optional<RowResult<RowSet>> allRows;
    relayedStore->read({"t", ""}, 1s, [&](const RowResult<RowSet> &it) { allRows = it; });
    BOOST_REQUIRE(allRows && *allRows);
    BOOST_TEST((*allRows)->rows.size() == 1U);
    BOOST_TEST((*allRows)->version == version(4));
}

// Guards against treating missing history as a failure of the relay: all rows are read again from
// the same relay.
BOOST_FIXTURE_TEST_CASE(missingHistoryDoesNotCountAsRelayFailure, Fixture)
{
    requestChanges(2);
    BOOST_REQUIRE(result && !*result);
    BOOST_TEST(((*result).error().fault == RowFault::HistoryGone));
    requestChanges(4);
    BOOST_TEST(requestCount == 2);
    BOOST_TEST(directStore.feeds == 0);
}

// Guards against a request loop of a follower that is ahead of its relay.
BOOST_FIXTURE_TEST_CASE(relayBehindFollowerAnswersAfterAdvancing, Fixture)
{
    requestChanges(8);
    BOOST_TEST(!result);
    relayStore.feed(RowSet{{}, version(9), false, bootNow()});
    BOOST_TEST(result.has_value());
}

// Guards against unbounded memory use: during a long outage, long polls of followers accumulated at
// their relay.
BOOST_FIXTURE_TEST_CASE(boundsWaitingRequests, Fixture)
{
    relayStore.feed(tl::make_unexpected(RowError{RowFault::NotDone, "test", {}}));
    size_t answers = 0;
    for (uint64_t i = 0; i < 10000; ++i) {
        peer::v1::FeedAsk longPoll;
        longPoll.set_table("t");
        longPoll.set_after(4);
        longPoll.set_number(i);
        longPoll.set_patient(true);
        relay.handleRequest(longPoll, relayFollower.get(),
                            [&](const peer::v1::Frame &) { ++answers; });
    }
    relay.onFollowerAdvanced("t", *relayFollower);
    BOOST_TEST(answers > 0U);
    BOOST_TEST(answers <= 2000U);
}

BOOST_FIXTURE_TEST_CASE(readsFromStoreWithoutRelay, Fixture)
{
    relayName.reset();
    requestChanges(4);
    BOOST_TEST(requestCount == 0);
    BOOST_TEST(directStore.feeds == 1);
}

// VMs waited at a relay for a version that the store had yet to assign again, and took the relay's
// silence for proof that nothing had changed.
BOOST_FIXTURE_TEST_CASE(relayTellsFollowerWhatIsDifferentInNewEra, Fixture)
{
    requestChanges(4);
    BOOST_TEST(!result);
    relayStore.nextRead = RowSet{{{"t", "a", "2", {2, 2}, false}}, {2, 3}, false, bootNow()};
    relayStore.feed(tl::make_unexpected(RowError{RowFault::HistoryGone, "test", {}}));
    BOOST_REQUIRE(result && *result);
    BOOST_TEST((*result)->carriesOverOtherRows);
    BOOST_TEST((*result)->version == StoreVersion(2, 3));
    BOOST_REQUIRE((*result)->rows.size() == 1U);
    BOOST_TEST((*result)->rows[0].version == StoreVersion(2, 2));
    BOOST_TEST(directStore.feeds == 0);
}

// The relay can't say which of the changes that only the follower saw are gone.
BOOST_FIXTURE_TEST_CASE(followerAheadOfItsRelayReadsTableWholeInNewEra, Fixture)
{
    requestChanges(9);
    relayStore.nextRead = RowSet{{{"t", "a", "2", {2, 2}, false}}, {2, 3}, false, bootNow()};
    relayStore.feed(tl::make_unexpected(RowError{RowFault::HistoryGone, "test", {}}));
    BOOST_REQUIRE(result && !*result);
    BOOST_TEST((result->error().fault == RowFault::HistoryGone));
    std::optional<RowResult<RowSet>> whole;
    relayedStore->read({"t", ""}, 2s, [&](const RowResult<RowSet> &it) { whole = it; });
    BOOST_REQUIRE(whole && *whole);
    BOOST_TEST((*whole)->version == StoreVersion(2, 3));
    BOOST_TEST((*whole)->rows.at(0).version == StoreVersion(2, 2));
}

// A VM that knows of the return follows a relay that doesn't: it waits until the relay does.
BOOST_FIXTURE_TEST_CASE(relayOfEarlierEraProvesNothing, Fixture)
{
    requestChanges(StoreVersion(2, 2));
    BOOST_TEST(!result);
    relayStore.feed(RowSet{{}, version(9), false, bootNow()});
    BOOST_TEST(!result);
    relayStore.nextRead = RowSet{{{"t", "a", "2", {2, 2}, false}}, {2, 2}, false, bootNow()};
    relayStore.feed(tl::make_unexpected(RowError{RowFault::HistoryGone, "test", {}}));
    BOOST_REQUIRE(result && *result);
    BOOST_TEST((*result)->rows.empty());
    BOOST_TEST((*result)->version == StoreVersion(2, 2));
}

// During an update of the fleet, processes that don't know eras ask without one.
BOOST_FIXTURE_TEST_CASE(requestWithoutEraIsOfRelaysEra, Fixture)
{
    peer::v1::FeedAsk request;
    request.set_number(7);
    request.set_table("t");
    request.set_after(4);
    std::optional<peer::v1::Frame> reply;
    relay.handleRequest(request, relayFollower.get(),
                        [&](const peer::v1::Frame &frame) { reply = frame; });
    BOOST_TEST(!reply);
    relayStore.feed(RowSet{{{"t", "b", "2", version(6), false}}, version(7), false, bootNow()});
    BOOST_REQUIRE(reply);
    BOOST_TEST(reply->feed_answer().version() == 7U);
    BOOST_TEST(reply->feed_answer().era() == Era);
    BOOST_TEST(!reply->feed_answer().history_gone());
}
