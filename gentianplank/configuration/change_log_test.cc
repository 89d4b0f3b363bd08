#include "gentianplank/configuration/change_log.h"

#include "gentianplank/standin/fake_table_store.h"

#include <boost/test/unit_test.hpp>

namespace gentianplank {

namespace {

constexpr Duration Timeout = std::chrono::seconds(1);

ConfigurationChange changeOf(uint64_t revision, const std::string &writeId)
{
    ConfigurationChange change;
    change.set_revision(revision);
    change.set_write_id(writeId);
    return change;
}

} // namespace

BOOST_AUTO_TEST_CASE(concurrentAppendOfSameRevisionConflicts)
{
    FakeTableStore store;
    ChangeLog log(store);
    BOOST_TEST(log.append(changeOf(1, "a"), Timeout).has_value());
    const auto second = log.append(changeOf(1, "b"), Timeout);
    BOOST_REQUIRE(!second.has_value());
    BOOST_TEST((second.error().error == AppendError::Conflict));
    BOOST_TEST(second.error().conflictingChange.write_id() == "a");
    const auto changes = log.readAfter(0, 10, Timeout);
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST(changes->size() == 1U);
    BOOST_TEST(changes->front().write_id() == "a");
}

BOOST_AUTO_TEST_CASE(lostAppendAnswerIsResolvedByReadBack)
{
    FakeTableStore store;
    ChangeLog log(store);
    store.loseNextAnswers(1);
    BOOST_TEST(log.append(changeOf(1, "a"), Timeout).has_value());
    BOOST_TEST(log.head(Timeout).value() == 1U);
}

BOOST_AUTO_TEST_CASE(appendDuringStoreOutageFailsAsUnavailable)
{
    FakeTableStore store;
    ChangeLog log(store);
    store.setDown(true);
    const auto result = log.append(changeOf(1, "a"), Timeout);
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().error == AppendError::Unavailable));
}

BOOST_AUTO_TEST_CASE(resentWriteIdReturnsItsStoredRevision)
{
    FakeTableStore store;
    ChangeLog log(store);
    BOOST_TEST(log.append(changeOf(1, "a"), Timeout).has_value());
    BOOST_TEST(log.append(changeOf(2, "b"), Timeout).has_value());
    const auto again = log.append(changeOf(3, "a"), Timeout);
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->revision == 1U);
    BOOST_TEST(log.head(Timeout).value() == 2U);
}

BOOST_AUTO_TEST_CASE(changesAreReadInRevisionOrder)
{
    FakeTableStore store;
    ChangeLog log(store);
    for (uint64_t i = 1; i <= 12; ++i) {
        BOOST_TEST(log.append(changeOf(i, std::to_string(i)), Timeout).has_value());
    }
    const auto changes = log.readAfter(8, 10, Timeout);
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST(changes->size() == 4U);
    BOOST_TEST(changes->front().revision() == 9U);
    BOOST_TEST(changes->back().revision() == 12U);
}

} // namespace gentianplank
