#include "gentianplank/link/link_budget.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <vector>

namespace gentianplank {

namespace {

const Instant Start{std::chrono::seconds(1000)};
constexpr double LinkRate = 30e6 / 8;
constexpr double ChunkBytes = 64 * 1024;

double secondsOf(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}

} // namespace

BOOST_AUTO_TEST_CASE(bulkKeepsReserveAndIsSharedFairly)
{
    const bool ok = rc::check("rate and fairness of pulls", [] {
        const auto organisations = static_cast<size_t>(*rc::gen::inRange(1, 6));
        // The number of concurrent pulls of each organisation.
        std::vector<int> pulls;
        for (size_t i = 0; i < organisations; ++i) {
            pulls.push_back(*rc::gen::inRange(1, 6));
        }
        LinkBudget budget = makeLinkBudget(LinkRate, Start);
        std::vector<double> sent(organisations, 0);
        // When each pull requests its next chunk.
        std::multimap<Instant, size_t> due;
        for (size_t i = 0; i < organisations; ++i) {
            for (int k = 0; k < pulls[i]; ++k) {
                due.emplace(Start, i);
            }
        }
        const Instant end = Start + std::chrono::seconds(20);
        while (due.begin()->first < end) {
            const auto [now, organisation] = *due.begin();
            due.erase(due.begin());
            const Instant at = scheduleBulk(budget, std::to_string(organisation), ChunkBytes, now);
            RC_ASSERT(at >= now);
            if (at < end) {
                sent[organisation] += ChunkBytes;
            }
            due.emplace(at, organisation);
        }
        double all = 0;
        for (const double it : sent) {
            all += it;
        }
        const double bulk = (1 - SmallStatementShare) * LinkRate * secondsOf(end - Start);
        RC_ASSERT(all <= bulk + ChunkBytes);
        RC_ASSERT(all >= 0.9 * bulk);
        for (const double it : sent) {
            RC_ASSERT(it >= 0.9 * bulk / static_cast<double>(organisations) - ChunkBytes);
        }
    });
    BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(bulkWaitsForSmallStatements)
{
    LinkBudget budget = makeLinkBudget(LinkRate, Start);
    recordSent(budget, LinkRate / 10, Start);
    const Instant at = scheduleBulk(budget, "a", ChunkBytes, Start);
    BOOST_TEST((at >= Start + std::chrono::milliseconds(99)));
    recordSent(budget, 100 * LinkRate, Start);
    const Instant later = scheduleBulk(budget, "b", ChunkBytes, Start);
    BOOST_TEST((later <= Start + std::chrono::milliseconds(1100)));
}

} // namespace gentianplank
