#include "gentianplank/store/row_store.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;

BOOST_AUTO_TEST_CASE(everyVersionOfLaterEraIsHigher)
{
    BOOST_TEST(StoreVersion(2, 1) > StoreVersion(1, 900));
    BOOST_TEST(StoreVersion(2, 3) > StoreVersion(2, 2));
    BOOST_TEST(StoreVersion(1, 7) != StoreVersion(2, 7));
    BOOST_TEST(isAbsent(StoreVersion{}));
    BOOST_TEST(toString(StoreVersion(2, 7)) == "2:7");
}

// Guards against fencing tokens and epochs that go back when versions are assigned again.
BOOST_AUTO_TEST_CASE(orderedNumbersIncreaseAcrossEras)
{
    BOOST_TEST(toOrderedNumber({0, 7}) == 7U);
    BOOST_TEST(toOrderedNumber({2, 1}) > toOrderedNumber({1, 1'000'000'000}));
    BOOST_TEST(toOrderedNumber({8191, 1}) < (uint64_t{1} << 53U));
    const uint64_t first = nextOrderedNumber(0, 1);
    BOOST_TEST(nextOrderedNumber(first, 1) == first + 1);
    BOOST_TEST(nextOrderedNumber(3, 2) > nextOrderedNumber(900, 1));
    BOOST_TEST(nextOrderedNumber(nextOrderedNumber(0, 3), 2) > nextOrderedNumber(0, 3));
}

BOOST_AUTO_TEST_CASE(recordOfEarlierEraIsCarriedOver)
{
    BOOST_TEST(isCarriedOver(1, {2, 5}));
    BOOST_TEST(!isCarriedOver(2, {2, 5}));
    BOOST_TEST(!isCarriedOver(std::nullopt, {2, 5}));
}

BOOST_AUTO_TEST_CASE(conditionsOnAbsentRowsHaveNoEra)
{
    RowTransaction transaction;
    transaction.conditions.push_back({"t", "a", {}});
    BOOST_TEST(!conditionEra(transaction));
    transaction.conditions.push_back({"t", "b", {3, 5}});
    transaction.conditions.push_back({"t", "c", {2, 9}});
    BOOST_TEST(*conditionEra(transaction) == 2U);
}

BOOST_AUTO_TEST_CASE(changesOfAnotherEraDoNotContinueAFeed)
{
    const RowSet set{{}, {2, 40}, false, {}};
    BOOST_TEST(asContinuation(set, {2, 33}).has_value());
    const auto other = asContinuation(set, {1, 33});
    BOOST_REQUIRE(!other);
    BOOST_TEST((other.error().fault == RowFault::HistoryGone));
    RowSet relative = set;
    relative.carriesOverOtherRows = true;
    BOOST_TEST(asContinuation(relative, {1, 33}).has_value());
    BOOST_TEST(!asContinuation(relative, {3, 33}).has_value());
}
