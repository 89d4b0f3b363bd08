#include "gentianplank/store/table_follower.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t Era = 1;

StoreVersion version(uint64_t number)
{
    return {Era, number};
}

// Holds calls until the test answers them.
class StoreMock : public RowStore
{
public:
    void read(RowRange range, Duration, std::function<void(RowResult<RowSet>)> done) override
    {
        ranges.push_back(range);
        reads.push_back(std::move(done));
    }
    void change(RowTransaction, Duration, std::function<void(RowResult<StoreVersion>)>) override {}
    void changesAfter(std::string, StoreVersion after, Duration wait, Duration,
                      std::function<void(RowResult<RowSet>)> done) override
    {
        pollVersions.push_back(after);
        pollWaits.push_back(wait);
        polls.push_back(std::move(done));
    }

    std::vector<RowRange> ranges;
    std::vector<std::function<void(RowResult<RowSet>)>> reads;
    std::vector<StoreVersion> pollVersions;
    std::vector<Duration> pollWaits;
    std::vector<std::function<void(RowResult<RowSet>)>> polls;
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
        listener.onUpToDate = [this](BootInstant) { ++upToDateCalls; };
        listener.onNewEra = [this](uint64_t era) { newEras.push_back(era); };
        listener.onReachable = [this](bool isReachable, const std::string &) {
            reachable.push_back(isReachable);
        };
        follower = std::make_unique<TableFollower>(
            store,
            [this](Duration, std::function<void()> task) { tasks.push_back(std::move(task)); }, "t",
            settings, listener);
        follower->start();
    }

    // Restarts the follower without a startup period.
    void skipStartupPeriod()
    {
        TableFollowerSettings settings;
        settings.startupPeriod = Duration::zero();
        start(settings);
    }

    static StoredRow row(const std::string &key, uint64_t number)
    {
        return {"t", key, "value of " + key, version(number), false};
    }

    static StoredRow rowOfEra(uint64_t era, const std::string &key, uint64_t number)
    {
        StoredRow result = row(key, number);
        result.version.era = era;
        return result;
    }

    StoreMock store;
    std::vector<std::function<void()>> tasks;
    std::vector<StoredRow> changes;
    std::vector<bool> reachable;
    std::vector<uint64_t> newEras;
    int upToDateCalls = 0;
    std::unique_ptr<TableFollower> follower;
};

RowResult<RowSet> failed(RowFault fault)
{
    return tl::make_unexpected(RowError{fault, "test", {}});
}

} // namespace

BOOST_FIXTURE_TEST_CASE(tableIsUpToDateOnlyAfterAllPagesAreRead, Fixture)
{
    store.reads[0](RowSet{{row("a", 3), row("b", 4)}, version(9), true, {}});
    BOOST_TEST(upToDateCalls == 0);
    BOOST_TEST(store.ranges[1].from == std::string("b\0", 2));
    store.reads[1](RowSet{{row("c", 5)}, version(12), false, {}});
    BOOST_TEST(upToDateCalls == 1);
    BOOST_TEST(follower->rows().size() == 3U);
    // Changes made while the pages were read are polled for.
    BOOST_TEST(store.pollVersions[0] == version(9));
}

// Guards against a flood of reads when a whole fleet starts and its tables change many times.
BOOST_FIXTURE_TEST_CASE(changesDuringStartupAreCoalesced, Fixture)
{
    store.reads[0](RowSet{{row("a", 3)}, version(3), false, {}});
    store.polls[0](RowSet{{row("a", 4)}, version(4), false, {}});
    BOOST_TEST(store.polls.size() == 1U);
    BOOST_REQUIRE(tasks.size() == 1U);
    tasks[0]();
    BOOST_TEST(store.polls.size() == 2U);
    // An answer without changes is followed by the next poll immediately.
    store.polls[1](RowSet{{}, version(4), false, {}});
    BOOST_TEST(store.polls.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(changesAreReportedOnceInVersionOrder, Fixture)
{
    skipStartupPeriod();
    store.reads[0](RowSet{{row("a", 3)}, version(3), false, {}});
    store.polls[0](RowSet{{row("a", 5), row("a", 3)}, version(6), false, {}});
    BOOST_TEST(follower->rows().at("a").version == version(5));
    BOOST_TEST(store.pollVersions[1] == version(6));
    StoredRow erasedRow = row("a", 8);
    erasedRow.erased = true;
    store.polls[1](RowSet{{erasedRow}, version(8), false, {}});
    BOOST_TEST(follower->rows().empty());
    BOOST_TEST(changes.size() == 3U);
}

// Guards against stale rows after the store dropped its history while changes were made: rows
// missing from the full read are erased, and no row goes back to an older version.
BOOST_FIXTURE_TEST_CASE(droppedStoreHistoryTriggersFullRead, Fixture)
{
    skipStartupPeriod();
    store.reads[0](RowSet{{row("a", 3), row("b", 4)}, version(4), false, {}});
    store.polls[0](RowSet{{row("b", 7)}, version(7), false, {}});
    store.polls[1](failed(RowFault::HistoryGone));
    BOOST_TEST(store.reads.size() == 2U);
    store.reads[1](RowSet{{row("b", 4), row("c", 9)}, version(9), false, {}});
    BOOST_TEST(follower->rows().count("a") == 0U);
    BOOST_TEST(follower->rows().at("b").version == version(7));
    BOOST_TEST(follower->rows().count("c") == 1U);
}

// Guards against treating an answer that the store truncated at its maximum size as complete: the
// VM kept using a configuration that had been replaced seconds before.
BOOST_FIXTURE_TEST_CASE(truncatedAnswerDoesNotMarkTableUpToDate, Fixture)
{
    skipStartupPeriod();
    store.reads[0](RowSet{{row("a", 3)}, version(5), false, bootNow()});
    const int before = upToDateCalls;
    store.polls.at(0)(RowSet{{row("a", 6)}, version(6), true, bootNow()});
    BOOST_TEST(upToDateCalls == before);
    BOOST_TEST(follower->rows().at("a").version == version(6));
    BOOST_REQUIRE(store.pollVersions.size() == 2U);
    BOOST_TEST(store.pollVersions[1] == version(6));
    store.polls.at(1)(RowSet{{row("a", 8)}, version(9), false, bootNow()});
    BOOST_TEST(upToDateCalls == before + 1);
}

// Guards against forwarding every intermediate state of a large row during a burst of changes.
BOOST_FIXTURE_TEST_CASE(onlyNewestVersionOfRepeatedlyChangedRowIsReported, Fixture)
{
    skipStartupPeriod();
    store.reads[0](RowSet{{row("a", 3), row("b", 2)}, version(5), false, bootNow()});
    changes.clear();
    store.polls.at(0)(
        RowSet{{row("a", 6), row("b", 7), row("a", 8)}, version(8), false, bootNow()});
    BOOST_REQUIRE(changes.size() == 2U);
    BOOST_TEST(changes[0].key == "b");
    BOOST_TEST(changes[1].version == version(8));
    const auto historyChanges = follower->changesAfter(version(5));
    BOOST_REQUIRE(historyChanges);
    BOOST_REQUIRE(historyChanges->size() == 2U);
    BOOST_TEST((*historyChanges)[1].version == version(8));
    BOOST_TEST(follower->changesAfter(version(7))->size() == 1U);
}

// VMs that follow the table through this one read their changes from its history.
BOOST_FIXTURE_TEST_CASE(historyAnswersChangesAfterItsStartVersion, Fixture)
{
    skipStartupPeriod();
    store.reads[0](RowSet{{row("a", 3)}, version(4), false, {}});
    BOOST_TEST(!follower->changesAfter(version(3)));
    BOOST_TEST(follower->changesAfter(version(4))->empty());
    store.polls[0](RowSet{{row("b", 6)}, version(7), false, {}});
    BOOST_TEST(follower->changesAfter(version(4))->size() == 1U);
    BOOST_TEST(follower->changesAfter(version(6))->empty());
    BOOST_TEST(follower->version() == version(7));
    BOOST_TEST(!follower->isUnchangedSince(version(3)));
    BOOST_TEST(!follower->isUnchangedSince(version(4)));
    BOOST_TEST(follower->isUnchangedSince(version(6)));
}

BOOST_FIXTURE_TEST_CASE(failedCallIsRetriedAndDoesNotMarkTableUpToDate, Fixture)
{
    store.reads[0](failed(RowFault::NotDone));
    BOOST_TEST(upToDateCalls == 0);
    BOOST_REQUIRE(tasks.size() == 1U);
    tasks[0]();
    store.reads[1](RowSet{{row("a", 3)}, version(3), false, {}});
    store.polls[0](failed(RowFault::OutcomeUnknown));
    BOOST_TEST(!follower->isReachable());
    tasks[1]();
    store.polls[1](RowSet{{}, version(3), false, {}});
    BOOST_TEST(upToDateCalls == 2);
    BOOST_TEST(reachable.size() == 3U);
}

// Guards against leases that expire between two answers. Without changes for a minute, all calls
// were long polls of seconds, so that no short exchange calibrated the store's clock and each proof
// dated from when its call was sent.
BOOST_FIXTURE_TEST_CASE(delayedAnswerIsFollowedByOneImmediateRead, Fixture)
{
    skipStartupPeriod();
    store.reads.back()(RowSet{{}, version(4), false, bootNow()});
    BOOST_TEST((store.pollWaits.back() == 1s));
    store.polls.back()(RowSet{{}, version(4), false, bootNow() - 900ms});
    BOOST_TEST((store.pollWaits.back() == 0s));
    // If the proof is still old, the immediate read isn't repeated.
    store.polls.back()(RowSet{{}, version(4), false, bootNow() - 900ms});
    BOOST_TEST((store.pollWaits.back() == 1s));
    store.polls.back()(RowSet{{}, version(4), false, bootNow()});
    BOOST_TEST((store.pollWaits.back() == 1s));
    // Retries during an outage aren't immediate reads either.
    store.polls.back()(RowSet{{}, version(4), false, bootNow() - 900ms});
    store.polls.back()(tl::make_unexpected(RowError{RowFault::NotDone, "test", {}}));
    tasks.back()();
    BOOST_TEST((store.pollWaits.back() == 1s));
}

// Guards against rows that are discarded for ever after the store came back from an older copy,
// since the versions of a new era start lower.
BOOST_FIXTURE_TEST_CASE(rowsOfNewEraReplaceKnownOnes, Fixture)
{
    skipStartupPeriod();
    store.reads[0](
        RowSet{{row("a", 30), row("b", 40), row("c", 5)}, version(40), false, bootNow()});
    store.polls.back()(failed(RowFault::HistoryGone));
    changes.clear();
    store.reads[1](RowSet{{rowOfEra(2, "a", 9), rowOfEra(2, "c", 5)}, {2, 12}, false, bootNow()});
    BOOST_TEST(newEras == std::vector<uint64_t>{2}, boost::test_tools::per_element());
    BOOST_TEST(follower->rows().size() == 2U);
    BOOST_TEST(follower->rows().at("a").version == StoreVersion(2, 9));
    // A row that is as it was only takes on the era.
    BOOST_TEST(follower->rows().at("c").version == StoreVersion(2, 5));
    BOOST_TEST(changes.size() == 2U);
    BOOST_TEST(store.pollVersions.back() == StoreVersion(2, 12));
    store.polls.back()(RowSet{{rowOfEra(2, "a", 14)}, {2, 14}, false, bootNow()});
    BOOST_TEST(follower->rows().at("a").version == StoreVersion(2, 14));
}

// Guards against a row of the copy that is discarded because its number is lower, or taken for
// unchanged because its number was assigned again.
BOOST_FIXTURE_TEST_CASE(rowsOfNewEraAreComparedByContent, Fixture)
{
    skipStartupPeriod();
    store.reads[0](RowSet{{row("a", 30)}, version(40), false, bootNow()});
    store.polls.back()(failed(RowFault::HistoryGone));
    changes.clear();
    StoredRow other = rowOfEra(2, "a", 30);
    other.value = "another value";
    store.reads[1](RowSet{{other}, {2, 31}, false, bootNow()});
    BOOST_TEST(follower->rows().at("a").value == "another value");
    BOOST_TEST(changes.size() == 1U);
}

// Guards against all VMs of a zone reading whole tables from their relay when the store returns.
BOOST_FIXTURE_TEST_CASE(historyTellsWhatIsDifferentInNewEra, Fixture)
{
    skipStartupPeriod();
    store.reads[0](RowSet{{row("a", 3), row("c", 4)}, version(5), false, bootNow()});
    store.polls.back()(
        RowSet{{row("a", 30), row("b", 31), row("d", 32)}, version(40), false, bootNow()});
    store.polls.back()(failed(RowFault::HistoryGone));
    store.reads[1](RowSet{{rowOfEra(2, "a", 3), rowOfEra(2, "c", 4)}, {2, 12}, false, bootNow()});
    const auto differences = follower->changesAfter(version(40));
    BOOST_REQUIRE(differences);
    BOOST_REQUIRE(differences->size() == 3U);
    BOOST_TEST((*differences)[0].key == "a");
    BOOST_TEST((*differences)[0].version == StoreVersion(2, 3));
    BOOST_TEST((*differences)[1].key == "b");
    BOOST_TEST((*differences)[1].erased);
    BOOST_TEST((*differences)[2].key == "d");
    BOOST_TEST((*differences)[2].erased);
    BOOST_TEST(!follower->isUnchangedSince(version(40)));
    // What was written after 40 in the earlier era is not known here.
    BOOST_TEST(!follower->changesAfter(version(41)));
    BOOST_TEST(!follower->changesAfter(version(4)));
    BOOST_TEST(follower->changesAfter(StoreVersion(2, 12))->empty());
}

// The VM's own relay tells it what is different; the VM tells its followers.
BOOST_FIXTURE_TEST_CASE(feedThatCarriesOverEntersNewEra, Fixture)
{
    skipStartupPeriod();
    store.reads[0](
        RowSet{{row("a", 30), row("b", 31), row("c", 4)}, version(40), false, bootNow()});
    changes.clear();
    StoredRow erased = rowOfEra(2, "b", 12);
    erased.erased = true;
    RowSet set{{rowOfEra(2, "a", 3), erased}, {2, 12}, false, bootNow()};
    set.carriesOverOtherRows = true;
    store.polls.back()(set);
    BOOST_TEST(newEras == std::vector<uint64_t>{2}, boost::test_tools::per_element());
    BOOST_TEST(changes.size() == 2U);
    BOOST_TEST(follower->rows().size() == 2U);
    BOOST_TEST(follower->rows().at("a").version == StoreVersion(2, 3));
    BOOST_TEST(follower->rows().at("c").version == StoreVersion(2, 4));
    BOOST_TEST(follower->version() == StoreVersion(2, 12));
    BOOST_TEST(follower->changesAfter(version(40))->size() == 2U);
}

// A relay that has not seen the return yet must not bring back what is gone.
BOOST_FIXTURE_TEST_CASE(tableOfEarlierEraIsRejected, Fixture)
{
    skipStartupPeriod();
    store.reads[0](RowSet{{rowOfEra(2, "a", 9)}, {2, 9}, false, bootNow()});
    store.polls.back()(failed(RowFault::HistoryGone));
    const int before = upToDateCalls;
    store.reads[1](RowSet{{row("a", 30)}, version(30), false, bootNow()});
    BOOST_TEST(upToDateCalls == before);
    BOOST_TEST(!follower->isReachable());
    BOOST_TEST(follower->rows().at("a").version == StoreVersion(2, 9));
    BOOST_TEST(newEras.empty());
}

BOOST_FIXTURE_TEST_CASE(tableIsReadAnewWhenEraChangesBetweenPages, Fixture)
{
    store.reads[0](RowSet{{row("a", 30)}, version(40), true, bootNow()});
    const StoredRow other = rowOfEra(2, "b", 9);
    store.reads[1](RowSet{{other}, {2, 12}, false, bootNow()});
    BOOST_TEST(upToDateCalls == 0);
    BOOST_REQUIRE(store.reads.size() == 3U);
    BOOST_TEST(store.ranges[2].from.empty());
    store.reads[2](RowSet{{other}, {2, 12}, false, bootNow()});
    BOOST_TEST(upToDateCalls == 1);
    BOOST_TEST(follower->rows().size() == 1U);
}
