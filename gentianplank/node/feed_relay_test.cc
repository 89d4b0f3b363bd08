#include "gentianplank/node/feed_relay.h"

#include <boost/test/unit_test.hpp>

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
    void changesAfter(std::string, uint64_t, Duration, Duration,
                      std::function<void(RowResult<RowSet>)> done) override
    {
        feed = std::move(done);
        ++feeds;
    }

    std::function<void(RowResult<RowSet>)> feed;
    int feeds = 0;
};

// A relay that follows the store, and a VM that follows the relay.
struct Fixture
{
    Fixture()
    {
        FollowListener listener;
        listener.onChanges = [](const std::vector<StoredRow> &) {};
        listener.onReachable = [](bool, const std::string &) {};
        listener.onProof = [this](BootInstant) {
            if (first) {
                relay.advanced("t", *first);
            }
        };
        const Scheduler scheduler = [this](Duration, std::function<void()> task) {
            tasks.push_back(std::move(task));
        };
        FollowSettings settings;
        settings.startTime = Duration::zero();
        first = std::make_unique<TableFollower>(firstStore, scheduler, "t", settings, listener);
        first->start();
        SecondHandEnvironment environment;
        environment.relay = [this] { return relayName; };
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
    bool isUnknown = false;
    peer::v1::FeedAsk late;
    late.set_table("t");
    late.set_after(4);
    relay.ask(late, first.get(),
              [&](const peer::v1::Frame &it) { isUnknown = it.feed_answer().unknown(); });
    BOOST_TEST(isUnknown);
}

// Two VMs that follow each other would both wait: who stops being a relay tells those who wait.
BOOST_FIXTURE_TEST_CASE(whoIsNoRelayAnyMoreTellsThoseWhoWait, Fixture)
{
    ask(4);
    BOOST_TEST(!result);
    relay.dismissAll();
    BOOST_REQUIRE(result);
    BOOST_TEST(!*result);
}

BOOST_FIXTURE_TEST_CASE(aVmWithoutARelayAsksTheStore, Fixture)
{
    relayName.reset();
    ask(4);
    BOOST_TEST(asked == 0);
    BOOST_TEST(secondStore.feeds == 1);
}
