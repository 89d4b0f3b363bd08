#include "gentianplank/platform/http_row_store.h"
#include "gentianplank/platform/promotion_request.h"
#include "gentianplank/standin/http_table_store.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    template <typename T, typename Call>
    T wait(Call call)
    {
        std::optional<T> result;
        call([&](T it) { result = std::move(it); });
        ioContext.restart();
        while (!result && ioContext.run_one_for(3s) != 0) {
        }
        BOOST_REQUIRE(result);
        return std::move(*result);
    }

    RowResult<StoreVersion> write(const std::string &key, const std::string &value,
                                  const StoreVersion &version)
    {
        RowTransaction transaction;
        transaction.conditions.push_back({"t", key, version});
        transaction.writes.push_back({"t", key, value, {}, false});
        return wait<RowResult<StoreVersion>>(
            [&](auto done) { store.change(transaction, 300ms, std::move(done)); });
    }

    RowResult<RowSet> read()
    {
        return wait<RowResult<RowSet>>([&](auto done) {
            store.read({"t", ""}, 300ms, std::move(done));
        });
    }

    RowResult<RowSet> feed(const StoreVersion &after)
    {
        return wait<RowResult<RowSet>>(
            [&](auto done) { store.changesAfter("t", after, 10ms, 300ms, std::move(done)); });
    }

    HttpTableStore platform;
    boost::asio::io_context ioContext;
    HttpClient client{ioContext, platform.address()};
    platform::HttpRowStore store{client};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(conditionalWritesAndReadsReturnRowVersions, Fixture)
{
    const auto first = write("a/b c", std::string("va") + '\0' + "lue", {});
    BOOST_REQUIRE(first);
    const auto rows = read();
    BOOST_REQUIRE(rows);
    BOOST_REQUIRE(rows->rows.size() == 1U);
    BOOST_TEST(rows->rows[0].key == "a/b c");
    BOOST_TEST(rows->rows[0].version == *first);
    BOOST_TEST((rows->provenAt > BootInstant{}));
    BOOST_TEST((rows->provenAt <= bootNow()));
    const auto again = write("a/b c", "other", {});
    BOOST_REQUIRE(!again);
    BOOST_TEST((again.error().fault == RowFault::ConditionFailed));
    BOOST_TEST(again.error().present.at(0).version == *first);
    BOOST_TEST(write("a/b c", "other", *first).has_value());
}

BOOST_FIXTURE_TEST_CASE(feedReturnsChangesAndReportsMissingHistory, Fixture)
{
    const StoreVersion version = *write("a", "1", {});
    write("b", "2", {});
    const auto changes = feed(version);
    BOOST_REQUIRE(changes);
    BOOST_TEST(changes->rows.size() == 1U);
    platform.erase("t", "b");
    BOOST_TEST(feed(changes->version)->rows.at(0).erased);
    platform.dropHistory();
    const auto gone = feed(changes->version);
    BOOST_REQUIRE(!gone);
    BOOST_TEST((gone.error().fault == RowFault::HistoryGone));
}

// Guards against lost changes: the store truncates a feed's reply at its maximum size without
// saying so.
BOOST_FIXTURE_TEST_CASE(feedReplyNearSizeLimitIsTreatedAsTruncated, Fixture)
{
    const std::string large(40000, 'x');
    BOOST_REQUIRE(write("small", "1", {}));
    const auto few = feed({1, 0});
    BOOST_REQUIRE(few);
    BOOST_TEST(!few->hasMore);
    for (int i = 0; i < 20; ++i) {
        BOOST_REQUIRE(write("large-" + std::to_string(i), large, {}));
    }
    const auto many = feed({1, 0});
    BOOST_REQUIRE(many);
    BOOST_TEST(many->hasMore);
    const auto last = feed({many->version.era, many->version.number - 2});
    BOOST_REQUIRE(last);
    BOOST_TEST(!last->hasMore);
}

BOOST_FIXTURE_TEST_CASE(busyStoreReportsNotDone, Fixture)
{
    platform.setFault(HttpTableStore::Fault::Busy);
    const auto result = write("a", "1", {});
    BOOST_REQUIRE(!result);
    BOOST_TEST((result.error().fault == RowFault::NotDone));
    platform.setFault(HttpTableStore::Fault::None);
    BOOST_TEST(read()->rows.empty());
}

BOOST_FIXTURE_TEST_CASE(lostReplyReportsUnknownOutcome, Fixture)
{
    platform.setFault(HttpTableStore::Fault::LostAnswers);
    const auto result = write("a", "1", {});
    BOOST_REQUIRE(!result);
    BOOST_TEST((result.error().fault == RowFault::OutcomeUnknown));
    platform.setFault(HttpTableStore::Fault::None);
    BOOST_TEST(read()->rows.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(unreachableStoreReportsNotDone, Fixture)
{
    HttpClient unreachableClient(ioContext, "127.0.0.1:1");
    platform::HttpRowStore other(unreachableClient);
    const auto result = wait<RowResult<RowSet>>([&](auto done) {
        other.read({"t", ""}, 300ms, std::move(done));
    });
    BOOST_REQUIRE(!result);
    BOOST_TEST((result.error().fault == RowFault::NotDone));
}

// Guards against treating an answer as one of an unknown era, where its version numbers may mean
// anything.
BOOST_FIXTURE_TEST_CASE(answerWithoutValidEraIsRejected, Fixture)
{
    const auto version = write("a", "1", {});
    BOOST_REQUIRE(version);
    for (const std::optional<std::string> &text :
         {std::optional<std::string>(), std::optional<std::string>(""),
          std::optional<std::string>("two"), std::optional<std::string>("-1"),
          std::optional<std::string>("1x"), std::optional<std::string>("99999999999999999999")}) {
        platform.setEraHeader(text);
        const auto rows = read();
        BOOST_REQUIRE(!rows);
        BOOST_TEST((rows.error().fault == RowFault::BadAnswer));
        BOOST_TEST(rows.error().what.find("Store-Era") != std::string::npos);
        BOOST_TEST((feed(*version).error().fault == RowFault::BadAnswer));
        BOOST_TEST((write("b", "1", {}).error().fault != RowFault::NotDone));
    }
    platform.setEraHeader("1");
    BOOST_TEST(read().has_value());
    BOOST_TEST(write("a", "2", *version).has_value());
}

// A store of an earlier release doesn't name eras. Everything was refused with it.
BOOST_FIXTURE_TEST_CASE(storeThatNamesNoEraIsInEraZero, Fixture)
{
    platform.setEraHeader(std::nullopt);
    const auto version = write("a", "1", {});
    BOOST_REQUIRE(version);
    BOOST_TEST(version->era == 0U);
    BOOST_TEST(read().has_value());
    BOOST_TEST(feed(*version).has_value());
    BOOST_TEST(write("a", "2", *version).has_value());
    // Its first named era is a later one.
    platform.setEraHeader("1");
    BOOST_TEST((feed(*version).error().fault == RowFault::HistoryGone));
    BOOST_TEST(read()->version.era == 1U);
    platform.setEraHeader(std::nullopt);
    BOOST_TEST((read().error().fault == RowFault::BadAnswer));
}

// Guards against a feed that is continued from a version number that was assigned again: the
// changes below it were never read.
BOOST_FIXTURE_TEST_CASE(feedOfEarlierEraIsNotContinued, Fixture)
{
    const HttpTableStore::Copy copy = platform.copy();
    const StoreVersion followed = *write("a", "1", {});
    platform.restore(copy);
    for (int i = 0; i < 5; ++i) {
        platform.put("t", "b", std::to_string(i));
    }
    const auto changes = feed(followed);
    BOOST_REQUIRE(!changes);
    BOOST_TEST((changes.error().fault == RowFault::HistoryGone));
    const auto rows = read();
    BOOST_REQUIRE(rows);
    BOOST_TEST(rows->version > followed);
    BOOST_TEST(feed(rows->version).has_value());
}

// Guards against a condition that holds for another content, since its version number was assigned
// again.
BOOST_FIXTURE_TEST_CASE(conditionOfEarlierEraDoesNotHold, Fixture)
{
    const HttpTableStore::Copy copy = platform.copy();
    const StoreVersion version = *write("a", "mine", {});
    platform.restore(copy);
    platform.put("t", "a", "other");
    BOOST_TEST(platform.get("t", "a")->second == version.number);
    // The client doesn't know of the new era yet, so the store applies the write.
    const auto unaware = write("a", "mine again", version);
    BOOST_REQUIRE(!unaware);
    BOOST_TEST((unaware.error().fault == RowFault::OutcomeUnknown));
    const uint64_t calls = platform.calls();
    const auto aware = write("a", "mine again", version);
    BOOST_REQUIRE(!aware);
    BOOST_TEST((aware.error().fault == RowFault::ConditionFailed));
    BOOST_TEST(platform.calls() == calls);
}

BOOST_FIXTURE_TEST_CASE(promotionResultFollowsHttpStatusOrLostReply, Fixture)
{
    using platform::PromotionReply;
    const auto promote = [&] {
        return wait<PromotionReply>([&](auto done) {
            platform::requestPromotion(
                client, "g", "i-1", "vm-1", 7, 300ms,
                [done](PromotionReply it, const std::string &) { done(it); });
        });
    };
    BOOST_TEST((promote() == PromotionReply::Refused));
    platform.onPromotion([](const std::string &group, const std::string &member) {
        return group == "g" && member == "i-1" ? 200U : 409U;
    });
    BOOST_TEST((promote() == PromotionReply::Accepted));
    platform.setFault(HttpTableStore::Fault::Busy);
    BOOST_TEST((promote() == PromotionReply::NotDone));
    platform.setFault(HttpTableStore::Fault::LostAnswers);
    BOOST_TEST((promote() == PromotionReply::Unknown));
}
