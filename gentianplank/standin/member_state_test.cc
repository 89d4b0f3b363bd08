#include "gentianplank/standin/member_state.h"

#include <boost/test/unit_test.hpp>

namespace gentianplank {

namespace {

MemberState member(const std::string &name)
{
    MemberState state;
    state.name = name;
    return state;
}

std::vector<LedgerOperation> add(const std::string &key, int64_t amount)
{
    return {{key, {}, amount, true}};
}

} // namespace

// A retry whose first attempt committed must not apply its operations twice.
BOOST_AUTO_TEST_CASE(repeatedRequestIdReturnsRecordedOutcome)
{
    MemberState a = member("a");
    BOOST_TEST(promote(a, 1));
    const CommitResult first = commit(a, "r", add("x", 5));
    const CommitResult again = commit(a, "r", add("x", 5));
    BOOST_TEST(again.replayed);
    BOOST_TEST((again.position == first.position));
    BOOST_TEST(a.ledger["x"] == "5");
}

// A commit that is delayed until after its outcome was resolved as aborted must not take effect.
BOOST_AUTO_TEST_CASE(commitAfterResolveIsAborted)
{
    MemberState a = member("a");
    promote(a, 1);
    BOOST_TEST(resolve(a, "r").aborted);
    BOOST_TEST(commit(a, "r", add("x", 5)).aborted);
    BOOST_TEST(!a.ledger.contains("x"));
}

// Entries that a former primary appended but didn't replicate must not survive the promotion of
// another member, or the logs of the two would diverge.
BOOST_AUTO_TEST_CASE(formerPrimaryTruncatesUnreplicatedEntries)
{
    MemberState a = member("a");
    MemberState b = member("b");
    promote(a, 1);
    commit(a, "r1", add("x", 1));
    BOOST_TEST(replicate(a, b, a.log.size()));
    commit(a, "r2", add("x", 10));
    fence(b, 2);
    BOOST_TEST(!replicate(a, b, a.log.size()));
    BOOST_TEST(promote(b, 2));
    BOOST_TEST(replicate(b, a, b.log.size()));
    BOOST_TEST(a.ledger["x"] == "1");
    BOOST_TEST((positionOf(a) == positionOf(b)));
    BOOST_TEST((refusalOf(a, 1) == target::v1::FAILURE_KIND_FENCED));
}

// Two promotions in one term, or one below the fenced term, would allow two primaries at once.
BOOST_AUTO_TEST_CASE(promotionRequiresNewUnfencedTerm)
{
    MemberState a = member("a");
    BOOST_TEST(promote(a, 3));
    BOOST_TEST(!promote(a, 3));
    fence(a, 5);
    BOOST_TEST(!promote(a, 4));
    BOOST_TEST(promote(a, 5));
}

// A replication pass that sees a shorter prefix, as when the simulated lag grows, must not remove
// entries that the replica already holds.
BOOST_AUTO_TEST_CASE(replicatingShorterPrefixKeepsReplicaLog)
{
    MemberState a = member("a");
    MemberState b = member("b");
    promote(a, 1);
    commit(a, "r1", add("x", 1));
    commit(a, "r2", add("x", 1));
    replicate(a, b, 3);
    replicate(a, b, 2);
    BOOST_TEST(b.log.size() == 3U);
}

} // namespace gentianplank
