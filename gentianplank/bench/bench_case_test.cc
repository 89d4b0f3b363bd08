#include "gentianplank/bench/bench_case.h"

#include <boost/test/unit_test.hpp>

namespace gentianplank {

BOOST_AUTO_TEST_CASE(percentileUsesNearestRank)
{
    const std::vector<double> samples{5, 1, 4, 2, 3};
    BOOST_TEST(percentile(samples, 50) == 3);
    BOOST_TEST(percentile(samples, 99) == 5);
    BOOST_TEST(percentile(samples, 1) == 1);
    BOOST_TEST(percentile({}, 50) == 0);
}

BOOST_AUTO_TEST_CASE(figurePassesOnlyIfItMeetsItsTarget)
{
    CaseReport report;
    addFigure(report, {"gap", "ms", 2000, 9000.0, atMost(2000)});
    addFigure(report, {"share", "%", 79.9, {}, atLeast(80)});
    addFigure(report, {"count", "1", 5, {}, {}});
    BOOST_TEST(report.figures(0).passed());
    BOOST_TEST(report.figures(0).target() == "<= 2000");
    BOOST_TEST(!report.figures(1).passed());
    BOOST_TEST(report.figures(2).passed());
}

BOOST_AUTO_TEST_CASE(fleetsHaveTheirDocumentedSizes)
{
    BOOST_TEST(associationFleet().vms.size() == 7U);
    BOOST_TEST(associationFleet().slots == 2U);
    BOOST_TEST(safraFleet().connections == 34U);
    BOOST_TEST(fleetByName("nowhere").has_value() == false);
}

} // namespace gentianplank
