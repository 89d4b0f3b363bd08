#include "gentianplank/target/member_choice.h"

#include <boost/test/unit_test.hpp>

using namespace gentianplank;
using namespace std::chrono_literals;

namespace {

ReadCandidate candidate(const std::string &id, Distance distance)
{
    ReadCandidate it;
    it.id = id;
    it.distance = distance;
    it.slots = 2;
    return it;
}

} // namespace

BOOST_AUTO_TEST_CASE(nearerReplicasRankFirst)
{
    std::vector<ReadCandidate> all{candidate("far", Distance::OtherRegion),
                                   candidate("near", Distance::SameRegion),
                                   candidate("here", Distance::SameZone)};
    const auto ranked = rankReaders(all);
    BOOST_TEST(ranked[0]->id == "here");
    BOOST_TEST(ranked[2]->id == "far");
}

BOOST_AUTO_TEST_CASE(queueingMemberRanksBehindIdleOne)
{
    std::vector<ReadCandidate> all{candidate("here", Distance::SameZone),
                                   candidate("near", Distance::SameRegion)};
    all[0].expectedWait = 50ms;
    BOOST_TEST(rankReaders(all)[0]->id == "near");
    all[0].expectedWait = 0ms;
    all[0].inFlight = 6;
    BOOST_TEST(rankReaders(all)[0]->id == "near");
}

BOOST_AUTO_TEST_CASE(replicaRanksBeforePrimaryUnlessLagging)
{
    std::vector<ReadCandidate> all{candidate("primary", Distance::SameZone),
                                   candidate("replica", Distance::SameRegion)};
    all[0].isPrimary = true;
    BOOST_TEST(rankReaders(all)[0]->id == "replica");
    all[1].isBehind = true;
    BOOST_TEST(rankReaders(all)[0]->id == "primary");
}

BOOST_AUTO_TEST_CASE(avoidedMemberRanksLastButIsKept)
{
    std::vector<ReadCandidate> all{candidate("here", Distance::SameZone),
                                   candidate("far", Distance::OtherRegion)};
    all[0].isAvoided = true;
    const auto ranked = rankReaders(all);
    BOOST_TEST(ranked.size() == 2U);
    BOOST_TEST(ranked[0]->id == "far");
}
