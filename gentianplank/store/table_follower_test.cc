#include "gentianplank/store/table_follower.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

// Keeps the calls until the test answers them.
class StoreMock : public RowStore
{
public:
    void read(RowRange range, Duration, std::function<void(RowResult<RowSet>)> done) override
    {
        ranges.push_back(range);
        reads.push_back(std::move(done));
    }
    void change(RowTransaction, Duration, std::function<void(RowResult<uint64_t>)>) override {}
    void changesAfter(std::string, uint64_t after, Duration wait, Duration,
                      std::function<void(RowResult<RowSet>)> done) override
    {
        afters.push_back(after);
        waits.push_back(wait);
        feeds.push_back(std::move(done));
    }

    std::vector<RowRange> ranges;
    std::vector<std::function<void(RowResult<RowSet>)>> reads;
    std::vector<uint64_t> afters;
    std::vector<Duration> waits;
    std::vector<std::function<void(RowResult<RowSet>)>> feeds;
};

struct Fixture
{
    Fixture() { start(TableFollowerSettings{}); }

    void start(const TableFollowerSettings &settings)
    {
        store = StoreMock();
        TableFollowerListener listener;
        listener.onChanges = [this](const std::vector<StoredRow> &rows) {
            changes.insert(changes.end(), rows.begin(), rows.end());
        };
        listener.onUpToDate = [this](BootInstant) { ++proofs; };
        listener.onReachable = [this](bool isReachable, const std::string &) {
            reachable.push_back(isReachable);
        };
        follower = std::make_unique<TableFollower>(
            store,
            [this](Duration, std::function<void()> task) { tasks.push_back(std::move(task)); }, "t",
            settings, listener);
        follower->start();
    }

    // Lets the time right after the start pass.
    void settle()
    {
        TableFollowerSettings settings;
        settings.startupPeriod = Duration::zero();
        start(settings);
    }

    static StoredRow row(const std::string &key, uint64_t version)
    {
        return {"t", key, "value of " + key, version, false};
    }

    StoreMock store;
    std::vector<std::function<void()>> tasks;
    std::vector<StoredRow> changes;
    std::vector<bool> reachable;
    int proofs = 0;
    std::unique_ptr<TableFollower> follower;
};

RowResult<RowSet> failed(RowFault fault)
{
    return tl::make_unexpected(RowError{fault, "test", {}});
}

} // namespace

BOOST_FIXTURE_TEST_CASE(allPagesAreReadBeforeAnythingIsProven, Fixture)
{
    store.reads[0](RowSet{{row("a", 3), row("b", 4)}, 9, true, {}});
    BOOST_TEST(proofs == 0);
    BOOST_TEST(store.ranges[1].from == std::string("b\0", 2));
    store.reads[1](RowSet{{row("c", 5)}, 12, false, {}});
    BOOST_TEST(proofs == 1);
    BOOST_TEST(follower->rows().size() == 3U);
    // What changed while the pages were read is asked for.
    BOOST_TEST(store.afters[0] == 9U);
}

// A fleet that starts at once changes its tables many times: changes are read together.
BOOST_FIXTURE_TEST_CASE(changesRightAfterTheStartAreReadTogether, Fixture)
{
    store.reads[0](RowSet{{row("a", 3)}, 3, false, {}});
    store.feeds[0](RowSet{{row("a", 4)}, 4, false, {}});
    BOOST_TEST(store.feeds.size() == 1U);
    BOOST_REQUIRE(tasks.size() == 1U);
    tasks[0]();
    BOOST_TEST(store.feeds.size() == 2U);
    // An answer without changes is followed up at once.
    store.feeds[1](RowSet{{}, 4, false, {}});
    BOOST_TEST(store.feeds.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(changesComeOnceAndInOrder, Fixture)
{
    settle();
    store.reads[0](RowSet{{row("a", 3)}, 3, false, {}});
    store.feeds[0](RowSet{{row("a", 5), row("a", 3)}, 6, false, {}});
    BOOST_TEST(follower->rows().at("a").version == 5U);
    BOOST_TEST(store.afters[1] == 6U);
    StoredRow gone = row("a", 8);
    gone.erased = true;
    store.feeds[1](RowSet{{gone}, 8, false, {}});
    BOOST_TEST(follower->rows().empty());
    BOOST_TEST(changes.size() == 3U);
}

// A history that was dropped while changes were made: what is missing afterwards was erased, and
// nothing that is known goes back to an older version.
BOOST_FIXTURE_TEST_CASE(aDroppedHistoryReadsTheTableAgain, Fixture)
{
    settle();
    store.reads[0](RowSet{{row("a", 3), row("b", 4)}, 4, false, {}});
    store.feeds[0](RowSet{{row("b", 7)}, 7, false, {}});
    store.feeds[1](failed(RowFault::HistoryGone));
    BOOST_TEST(store.reads.size() == 2U);
    store.reads[1](RowSet{{row("b", 4), row("c", 9)}, 9, false, {}});
    BOOST_TEST(follower->rows().count("a") == 0U);
    BOOST_TEST(follower->rows().at("b").version == 7U);
    BOOST_TEST(follower->rows().count("c") == 1U);
}

// What others are told who follow at second hand.
// Pattern: an answer that the store had cut at its largest size was taken for all changes, so that
// a VM held a configuration to be in force that had been replaced for seconds.
BOOST_FIXTURE_TEST_CASE(anAnswerThatMayBeCutProvesNothing, Fixture)
{
    settle();
    store.reads[0](RowSet{{row("a", 3)}, 5, false, bootNow()});
    const int before = proofs;
    store.feeds.at(0)(RowSet{{row("a", 6)}, 6, true, bootNow()});
    BOOST_TEST(proofs == before);
    BOOST_TEST(follower->rows().at("a").version == 6U);
    BOOST_REQUIRE(store.afters.size() == 2U);
    BOOST_TEST(store.afters[1] == 6U);
    store.feeds.at(1)(RowSet{{row("a", 8)}, 9, false, bootNow()});
    BOOST_TEST(proofs == before + 1);
}

// Pattern: in a storm of changes every state of a large row was told on, one after the other.
BOOST_FIXTURE_TEST_CASE(ofARowThatChangedOftenOnlyTheNewestIsTold, Fixture)
{
    settle();
    store.reads[0](RowSet{{row("a", 3), row("b", 2)}, 5, false, bootNow()});
    changes.clear();
    store.feeds.at(0)(RowSet{{row("a", 6), row("b", 7), row("a", 8)}, 8, false, bootNow()});
    BOOST_REQUIRE(changes.size() == 2U);
    BOOST_TEST(changes[0].key == "b");
    BOOST_TEST(changes[1].version == 8U);
    const auto told = follower->changesAfter(5);
    BOOST_REQUIRE(told);
    BOOST_REQUIRE(told->size() == 2U);
    BOOST_TEST((*told)[1].version == 8U);
    BOOST_TEST(follower->changesAfter(7)->size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(theChangesAfterAVersionAreKnownForAWhile, Fixture)
{
    settle();
    store.reads[0](RowSet{{row("a", 3)}, 4, false, {}});
    BOOST_TEST(!follower->changesAfter(3));
    BOOST_TEST(follower->changesAfter(4)->empty());
    store.feeds[0](RowSet{{row("b", 6)}, 7, false, {}});
    BOOST_TEST(follower->changesAfter(4)->size() == 1U);
    BOOST_TEST(follower->changesAfter(6)->empty());
    BOOST_TEST(follower->version() == 7U);
    BOOST_TEST(!follower->isUnchangedSince(3));
    BOOST_TEST(!follower->isUnchangedSince(4));
    BOOST_TEST(follower->isUnchangedSince(6));
}

BOOST_FIXTURE_TEST_CASE(aStoreThatFailsProvesNothingAndIsAskedAgain, Fixture)
{
    store.reads[0](failed(RowFault::NotDone));
    BOOST_TEST(proofs == 0);
    BOOST_REQUIRE(tasks.size() == 1U);
    tasks[0]();
    store.reads[1](RowSet{{row("a", 3)}, 3, false, {}});
    store.feeds[0](failed(RowFault::OutcomeUnknown));
    BOOST_TEST(!follower->isReachable());
    tasks[1]();
    store.feeds[1](RowSet{{}, 3, false, {}});
    BOOST_TEST(proofs == 2);
    BOOST_TEST(reachable.size() == 3U);
}

// Pattern: in a fleet where nothing changed for a minute, all calls had waited for seconds, and
// what they proved counted from when they were made: rights lapsed between two answers.
BOOST_FIXTURE_TEST_CASE(aProofThatComesOldIsRenewedAtOnce, Fixture)
{
    settle();
    store.reads.back()(RowSet{{}, 4, false, bootNow()});
    BOOST_TEST((store.waits.back() == 1s));
    store.feeds.back()(RowSet{{}, 4, false, bootNow() - 900ms});
    BOOST_TEST((store.waits.back() == 0s));
    // Where that does not help, the store is not asked all the time.
    store.feeds.back()(RowSet{{}, 4, false, bootNow() - 900ms});
    BOOST_TEST((store.waits.back() == 1s));
    store.feeds.back()(RowSet{{}, 4, false, bootNow()});
    BOOST_TEST((store.waits.back() == 1s));
    // Nor with short calls in an outage.
    store.feeds.back()(RowSet{{}, 4, false, bootNow() - 900ms});
    store.feeds.back()(tl::make_unexpected(RowError{RowFault::NotDone, "test", {}}));
    tasks.back()();
    BOOST_TEST((store.waits.back() == 1s));
}
