#include "gentianplank/node/control/feed_relay.h"

#include <boost/test/unit_test.hpp>

#include <thread>
#include <utility>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

// A store that answers reads at once and keeps feeds until the test answers them.
class StoreMock : public RowStore
{
public:
    void read(RowRange, Duration, std::function<void(RowResult<RowSet>)> done) override
    {
        done(RowSet{{{"t", "a", "1", 3, false}}, 4, false, bootNow()});
    }
    void change(RowTransaction, Duration, std::function<void(RowResult<uint64_t>)>) override {}
    void changesAfter(std::string, uint64_t, Duration wait, Duration,
                      std::function<void(RowResult<RowSet>)> done) override
    {
        feed = std::move(done);
        lastWait = wait;
        ++feeds;
    }

    std::function<void(RowResult<RowSet>)> feed;
    int feeds = 0;
    Duration lastWait{};
};

// A relay that follows the store, and a VM that follows the relay.
struct Fixture
{
    Fixture()
    {
        TableFollowerListener listener;
        listener.onChanges = [](const std::vector<StoredRow> &) {};
        listener.onReachable = [](bool, const std::string &) {};
        listener.onUpToDate = [this](BootInstant) {
            if (first) {
                relay.advanced("t", *first);
            }
        };
        const Scheduler scheduler = [this](Duration delay, std::function<void()> task) {
            tasks.push_back(std::move(task));
            lastDelay = delay;
        };
        TableFollowerSettings settings;
        settings.startupPeriod = Duration::zero();
        first = std::make_unique<TableFollower>(firstStore, scheduler, "t", settings, listener);
        first->start();
        SecondHandEnvironment environment;
        environment.relay =
            [this](const std::set<std::string> &avoided) -> std::optional<RelayChoice> {
            if (!relayName || avoided.count(*relayName) != 0) {
                return std::nullopt;
            }
            return RelayChoice{*relayName, true};
        };
        environment.send = [this](const std::string &vm, const peer::v1::Frame &frame) {
            ++asked;
            if (isDark) {
                return;
            }
            relay.ask(frame.feed_ask(), first.get(), [this, vm](const peer::v1::Frame &reply) {
                second->takeAnswer(vm, reply.feed_answer());
            });
        };
        environment.schedule = scheduler;
        second = std::make_unique<SecondHandRowStore>(secondStore, std::move(environment));
        ask(4);
        BOOST_REQUIRE(result);
        result.reset();
        asked = 0;
    }

    void ask(uint64_t after)
    {
        result.reset();
        second->changesAfter("t", after, 1s, 2s,
                             [this](const RowResult<RowSet> &it) { result = it; });
    }

    StoreMock firstStore;
    StoreMock secondStore;
    FeedRelay relay;
    std::vector<std::function<void()>> tasks;
    Duration lastDelay{};
    std::unique_ptr<TableFollower> first;
    std::unique_ptr<SecondHandRowStore> second;
    std::optional<std::string> relayName = "vm-1";
    bool isDark = false;
    int asked = 0;
    std::optional<RowResult<RowSet>> result;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(aChangeComesAsSoonAsTheRelayKnowsIt, Fixture)
{
    ask(4);
    BOOST_TEST(!result);
    firstStore.feed(RowSet{{{"t", "b", "2", 6, false}}, 7, false, bootNow()});
    BOOST_REQUIRE(result && *result);
    BOOST_TEST((*result)->rows.at(0).key == "b");
    BOOST_TEST((*result)->version == 7U);
    BOOST_TEST(secondStore.feeds == 0);
}

// A key used too long: a proof at second hand must not look younger than the relay's own.
BOOST_FIXTURE_TEST_CASE(aProofAtSecondHandIsNoYoungerThanTheRelays, Fixture)
{
    ask(4);
    const BootInstant provenAt = bootNow() - 700ms;
    firstStore.feed(RowSet{{}, 9, false, provenAt + 500ms});
    BOOST_REQUIRE(result && *result);
    BOOST_TEST(((*result)->provenAt <= first->provenAt()));
    BOOST_TEST(((*result)->provenAt >= first->provenAt() - 100ms));
}

BOOST_FIXTURE_TEST_CASE(aRelayThatIsLostLeavesTheStore, Fixture)
{
    isDark = true;
    ask(4);
    second->peerLost("vm-2");
    BOOST_TEST(!result);
    second->peerLost("vm-1");
    BOOST_REQUIRE(result && !*result);
    ask(4);
    BOOST_TEST(secondStore.feeds == 1);
    BOOST_TEST(asked == 1);
}

BOOST_FIXTURE_TEST_CASE(aRelayThatStaysSilentIsGivenUp, Fixture)
{
    isDark = true;
    ask(4);
    BOOST_REQUIRE(!tasks.empty());
    tasks.back()();
    BOOST_REQUIRE(result && !*result);
    BOOST_TEST(((*result).error().fault == RowFault::NotDone));
}

// A relay that lost the store, or its history, must say so.
BOOST_FIXTURE_TEST_CASE(aRelayThatDoesNotKnowSaysSo, Fixture)
{
    ask(2);
    BOOST_REQUIRE(result && !*result);
    firstStore.feed(tl::make_unexpected(RowError{RowFault::NotDone, "test", {}}));
    second = nullptr;
    int unknowns = 0;
    peer::v1::FeedAsk late;
    late.set_table("t");
    late.set_after(4);
    const auto count = [&](const peer::v1::Frame &it) {
        unknowns += it.feed_answer().unknown() ? 1 : 0;
    };
    relay.ask(late, first.get(), count);
    BOOST_TEST(unknowns == 0);
    relay.dismiss("t");
    BOOST_TEST(unknowns == 1);
    relay.ask(late, first.get(), count);
    BOOST_TEST(unknowns == 2);
    // It is back.
    BOOST_REQUIRE(!tasks.empty());
    tasks.back()();
    firstStore.feed(RowSet{{}, 9, false, bootNow()});
    late.set_after(9);
    relay.ask(late, first.get(), count);
    BOOST_TEST(unknowns == 2);
}

// Pattern: when the first VM of a region stopped, the next ones had lost it at the same moment,
// said so to each other, and all asked the store.
BOOST_FIXTURE_TEST_CASE(aRelayThatLostItsOwnAMomentAgoIsWaitedFor, Fixture)
{
    firstStore.feed(tl::make_unexpected(RowError{RowFault::NotDone, "test", {}}));
    ask(4);
    BOOST_TEST(!result);
    BOOST_REQUIRE(!tasks.empty());
    tasks.front()();
    firstStore.feed(RowSet{{}, 9, false, bootNow()});
    BOOST_REQUIRE(result && *result);
    BOOST_TEST(secondStore.feeds == 0);
}

// Pattern: a relay that stopped while it was waited for was taken for a silent one; all its
// followers asked the store, for five seconds each.
BOOST_FIXTURE_TEST_CASE(aRelayThatStopsIsFollowedByTheNext, Fixture)
{
    ask(4);
    std::this_thread::sleep_for(600ms);
    second->peerLost("vm-1");
    BOOST_REQUIRE(result && !*result);
    relayName = "vm-2";
    ask(4);
    BOOST_REQUIRE(result && *result);
    BOOST_TEST(asked == 2);
    BOOST_TEST(secondStore.feeds == 0);
}

// Pattern: a VM that had changed its relay twice took a proof of 3 s ago, and the one before it,
// for as old as its asks were: it knew neither relay's clock, and both waited for a change.
BOOST_FIXTURE_TEST_CASE(aNewRelayAnswersAtOnce, Fixture)
{
    for (const std::string vm : {"vm-2", "vm-3"}) {
        relayName = vm;
        ask(4);
        BOOST_REQUIRE(result && *result);
        ask(4);
        BOOST_TEST(!result);
        std::this_thread::sleep_for(100ms);
        firstStore.feed(RowSet{{}, 9, false, bootNow()});
        BOOST_REQUIRE(result && *result);
        BOOST_TEST((bootNow() - (*result)->provenAt < 50ms));
    }
    // Its process started anew.
    second->peerLost("vm-3");
    ask(9);
    BOOST_TEST((result && *result));
}

// Pattern: a relay that was told to stop kept its followers waiting until its process ended, and
// the proof of one grew too old.
BOOST_FIXTURE_TEST_CASE(aRelayThatStopsSaysSo, Fixture)
{
    firstStore.feed(RowSet{{}, 4, false, bootNow()});
    int unknowns = 0;
    const auto count = [&](const peer::v1::Frame &it) {
        unknowns += it.feed_answer().unknown() ? 1 : 0;
    };
    peer::v1::FeedAsk feedAsk;
    feedAsk.set_table("t");
    feedAsk.set_after(4);
    relay.ask(feedAsk, first.get(), count);
    feedAsk.set_patient(true);
    relay.ask(feedAsk, first.get(), count);
    BOOST_TEST(unknowns == 0);
    relay.retire();
    BOOST_TEST(unknowns == 2);
    relay.ask(feedAsk, first.get(), count);
    BOOST_TEST(unknowns == 3);
}

// A relay that is to answer at once has not the time of one that waits for a change.
BOOST_FIXTURE_TEST_CASE(theNextRelayHasLittleTime, Fixture)
{
    isDark = true;
    ask(4);
    BOOST_TEST((lastDelay == 2s));
    second->peerLost("vm-1");
    relayName = "vm-2";
    ask(4);
    BOOST_TEST((lastDelay <= 600ms));
}

// After a silence only the store is sure to answer before the proof is too old; it is asked once,
// and at once.
BOOST_FIXTURE_TEST_CASE(afterASilenceTheStoreIsAskedOnce, Fixture)
{
    isDark = true;
    ask(4);
    std::this_thread::sleep_for(1500ms);
    tasks.back()();
    BOOST_REQUIRE(result && !*result);
    relayName = "vm-2";
    isDark = false;
    ask(4);
    BOOST_TEST(asked == 1);
    BOOST_REQUIRE(secondStore.feeds == 1);
    BOOST_TEST((secondStore.lastWait == 0s));
    secondStore.feed(RowSet{{}, 4, false, bootNow()});
    ask(4);
    BOOST_TEST(asked == 2);
    BOOST_TEST(secondStore.feeds == 1);
}

// Who waits for a relay that lost the store must hear so, and asks the store itself.
BOOST_FIXTURE_TEST_CASE(aRelayThatLostTheStoreTellsThoseWhoWait, Fixture)
{
    ask(4);
    BOOST_TEST(!result);
    relay.dismiss("t");
    BOOST_REQUIRE(result);
    BOOST_TEST(!*result);
    ask(4);
    BOOST_TEST(secondStore.feeds == 1);
}

// Pattern: in an outage of the store, each VM of a fleet went on calling it several times a second.
BOOST_FIXTURE_TEST_CASE(inAnOutageAVmWaitsForItsRelayAndCallsRarely, Fixture)
{
    const auto down = tl::make_unexpected(RowError{RowFault::NotDone, "test", {}});
    ask(4);
    firstStore.feed(down);
    relay.dismiss("t");
    ask(4);
    BOOST_REQUIRE(secondStore.feeds == 1);
    secondStore.feed(down);
    BOOST_REQUIRE(result && !*result);
    relayName = "vm-2";
    ask(4);
    relay.dismiss("t");
    BOOST_TEST(!result);
    BOOST_TEST(secondStore.feeds == 1);
    // The relay has the store back.
    BOOST_REQUIRE(!tasks.empty());
    for (const auto &it : std::exchange(tasks, {})) {
        it();
    }
    firstStore.feed(RowSet{{}, 9, false, bootNow()});
    BOOST_REQUIRE(result);
}

// After a failure some of a proof's time is used up: the next relay tells at once what it knows.
BOOST_FIXTURE_TEST_CASE(afterAFailureTheNextRelayAnswersAtOnce, Fixture)
{
    isDark = true;
    ask(4);
    second->peerLost("vm-1");
    isDark = false;
    relayName = "vm-2";
    ask(4);
    BOOST_REQUIRE(result && *result);
    BOOST_TEST((*result)->rows.empty());
    ask(4);
    BOOST_TEST(!result);
}

// Pattern: a VM that the store turned away asked by turns its relay, which answered, and the store.
BOOST_FIXTURE_TEST_CASE(aRelayThatAnswersIsAskedAgainThoughOthersFailed, Fixture)
{
    const auto down = tl::make_unexpected(RowError{RowFault::NotDone, "test", {}});
    isDark = true;
    for (const std::string vm : {"vm-1", "vm-2"}) {
        relayName = vm;
        ask(4);
        second->peerLost(vm);
    }
    relayName = "vm-3";
    ask(4);
    BOOST_REQUIRE(secondStore.feeds == 1);
    secondStore.feed(down);
    isDark = false;
    ask(4);
    BOOST_REQUIRE(result && *result);
    ask(4);
    BOOST_TEST(!result);
    BOOST_TEST(secondStore.feeds == 1);
}

// Pattern: a large configuration, told to each VM of a zone, filled the slow link of its relay.
BOOST_FIXTURE_TEST_CASE(largeValuesAreToldCompressed, Fixture)
{
    std::string value;
    for (int i = 0; i < 2000; ++i) {
        value += "{\"name\":\"route-" + std::to_string(i) + "\"}";
    }
    size_t sentBytes = 0;
    firstStore.feed(RowSet{{{"t", "b", value, 6, false}}, 7, false, bootNow()});
    peer::v1::FeedAsk direct;
    direct.set_table("t");
    direct.set_after(4);
    relay.ask(direct, first.get(),
              [&](const peer::v1::Frame &it) { sentBytes = it.ByteSizeLong(); });
    BOOST_TEST(sentBytes > 0U);
    BOOST_TEST(sentBytes < value.size() / 3);
    ask(4);
    BOOST_REQUIRE(result && *result);
    BOOST_TEST(((*result)->rows.at(0).value == value));
}

BOOST_FIXTURE_TEST_CASE(allRowsComeFromTheRelayToo, Fixture)
{
    std::optional<RowResult<RowSet>> all;
    second->read({"t", ""}, 1s, [&](const RowResult<RowSet> &it) { all = it; });
    BOOST_REQUIRE(all && *all);
    BOOST_TEST((*all)->rows.size() == 1U);
    BOOST_TEST((*all)->version == 4U);
}

// Changes that the relay no longer knows: all rows are read again, the relay is not at fault.
BOOST_FIXTURE_TEST_CASE(aShorterHistoryOfTheRelayIsNoFailure, Fixture)
{
    ask(2);
    BOOST_REQUIRE(result && !*result);
    BOOST_TEST(((*result).error().fault == RowFault::HistoryGone));
    ask(4);
    BOOST_TEST(asked == 2);
    BOOST_TEST(secondStore.feeds == 0);
}

// Who knows more than its relay must not ask it again and again.
BOOST_FIXTURE_TEST_CASE(aRelayThatIsBehindAnswersWhenItKnowsMore, Fixture)
{
    ask(8);
    BOOST_TEST(!result);
    firstStore.feed(RowSet{{}, 9, false, bootNow()});
    BOOST_TEST(result.has_value());
}

// Pattern: in a long outage, what patient followers asked piled up at their relay.
BOOST_FIXTURE_TEST_CASE(whatWaitsAtARelayIsBounded, Fixture)
{
    firstStore.feed(tl::make_unexpected(RowError{RowFault::NotDone, "test", {}}));
    size_t answers = 0;
    for (uint64_t i = 0; i < 10000; ++i) {
        peer::v1::FeedAsk patient;
        patient.set_table("t");
        patient.set_after(4);
        patient.set_number(i);
        patient.set_patient(true);
        relay.ask(patient, first.get(), [&](const peer::v1::Frame &) { ++answers; });
    }
    relay.advanced("t", *first);
    BOOST_TEST(answers > 0U);
    BOOST_TEST(answers <= 2000U);
}

BOOST_FIXTURE_TEST_CASE(aVmWithoutARelayAsksTheStore, Fixture)
{
    relayName.reset();
    ask(4);
    BOOST_TEST(asked == 0);
    BOOST_TEST(secondStore.feeds == 1);
}
