#include "gentianplank/node/control/settled_write.h"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace gentianplank;

namespace {

// A row that is written if it has the version that every attempt expects. Each attempt has a
// scripted fate.
struct Fixture
{
    enum class Fate { Answered, AnswerLost, Late, Busy, Unreadable };

    void write(std::deque<Fate> fates)
    {
        SettledWrite settled;
        settled.key = "group/g";
        settled.value = "new";
        settled.attempt = [this, fates = std::move(fates)](
                              const std::function<void(RowResult<StoreVersion>)> &done) mutable {
            ++attempts;
            const Fate fate = fates.front();
            fates.pop_front();
            answer(fate, done);
        };
        settled.schedule = [this](Duration, std::function<void()> task) {
            tasks.push_back(std::move(task));
        };
        writeUntilSettled(std::move(settled),
                          [this](RowResult<StoreVersion> it) { results.push_back(std::move(it)); });
        while (!tasks.empty()) {
            const auto task = std::move(tasks.front());
            tasks.pop_front();
            task();
        }
    }

    void answer(Fate fate, const std::function<void(RowResult<StoreVersion>)> &done)
    {
        switch (fate) {
        case Fate::Answered:
            done(perform());
            return;
        case Fate::AnswerLost:
        case Fate::Unreadable:
            (void)perform();
            break;
        case Fate::Late:
            ++lateWrites;
            break;
        case Fate::Busy:
            done(tl::make_unexpected(RowError{RowFault::NotDone, "busy", {}}));
            return;
        }
        const RowFault fault =
            fate == Fate::Unreadable ? RowFault::BadAnswer : RowFault::OutcomeUnknown;
        done(tl::make_unexpected(RowError{fault, "test", {}}));
    }

    RowResult<StoreVersion> perform()
    {
        if (row.version.number != 50) {
            return tl::make_unexpected(RowError{RowFault::ConditionFailed, "version", {row}});
        }
        row = {"t", "group/g", "new", {1, 51}, false};
        return row.version;
    }

    StoredRow row{"t", "group/g", "old", {1, 50}, false};
    std::deque<std::function<void()>> tasks;
    std::vector<RowResult<StoreVersion>> results;
    int attempts = 0;
    int lateWrites = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(answeredWriteIsNotRepeated, Fixture)
{
    write({Fate::Answered});
    BOOST_TEST(attempts == 1);
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST((results[0] == StoreVersion{1, 51}));
}

// Guards against decisions beside a write that may still be performed: its answer was lost.
BOOST_FIXTURE_TEST_CASE(lateWriteFailsOnceSettled, Fixture)
{
    write({Fate::Late, Fate::Answered});
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST((results[0] == StoreVersion{1, 51}));
    BOOST_TEST(lateWrites == 1);
    BOOST_TEST(!perform());
}

BOOST_FIXTURE_TEST_CASE(performedWriteWithLostAnswerSucceeds, Fixture)
{
    write({Fate::AnswerLost, Fate::Busy, Fate::Answered});
    BOOST_REQUIRE(results.size() == 1U);
    BOOST_TEST((results[0] == StoreVersion{1, 51}));
}

BOOST_FIXTURE_TEST_CASE(performedWriteWithUnreadableAnswerSucceeds, Fixture)
{
    write({Fate::Unreadable, Fate::Answered});
    BOOST_TEST((results.at(0) == StoreVersion{1, 51}));
}

BOOST_FIXTURE_TEST_CASE(refusedWriteIsReportedUnlessAnEarlierOneMayBePerformed, Fixture)
{
    write({Fate::Busy});
    BOOST_TEST((results.at(0).error().fault == RowFault::NotDone));
    write({Fate::Late, Fate::Busy, Fate::Answered});
    BOOST_TEST((results.at(1) == StoreVersion{1, 51}));
}

BOOST_FIXTURE_TEST_CASE(otherWritersRowIsReported, Fixture)
{
    row = {"t", "group/g", "other", {1, 60}, false};
    write({Fate::Late, Fate::Answered});
    BOOST_TEST((results.at(0).error().fault == RowFault::ConditionFailed));
}
