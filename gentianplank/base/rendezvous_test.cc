#include "gentianplank/base/rendezvous.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

namespace gentianplank {

namespace {

std::vector<std::string> names(int n)
{
    std::vector<std::string> all;
    for (int i = 0; i < n; ++i) {
        all.push_back("vm-" + std::to_string(i));
    }
    return all;
}

} // namespace

BOOST_AUTO_TEST_CASE(rankingIgnoresOrderOfCandidates)
{
    std::vector<std::string> candidates = names(20);
    const auto ranked = rankByRendezvous("role", candidates);
    std::reverse(candidates.begin(), candidates.end());
    BOOST_TEST(ranked == rankByRendezvous("role", candidates));
    BOOST_TEST(ranked.front() == pickByRendezvous("role", candidates));
}

BOOST_AUTO_TEST_CASE(removingOneCandidateMovesOnlyItsRoles)
{
    std::vector<std::string> candidates = names(7);
    std::map<std::string, std::string> before;
    for (int i = 0; i < 500; ++i) {
        const std::string key = "role-" + std::to_string(i);
        before[key] = pickByRendezvous(key, candidates);
    }
    const std::string removed = candidates.back();
    candidates.pop_back();
    for (const auto &[key, holder] : before) {
        if (holder != removed) {
            BOOST_TEST(pickByRendezvous(key, candidates) == holder);
        }
    }
}

BOOST_AUTO_TEST_CASE(rolesAreSpreadEvenly)
{
    std::map<std::string, int> held;
    for (int i = 0; i < 7000; ++i) {
        ++held[pickByRendezvous("role-" + std::to_string(i), names(7))];
    }
    for (const auto &[name, n] : held) {
        BOOST_TEST(n > 700);
        BOOST_TEST(n < 1300);
    }
    BOOST_TEST(held.size() == 7U);
}

} // namespace gentianplank
