#include "gentianplank/metrics/metrics.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>
#include <sstream>
#include <thread>
#include <vector>

namespace gentianplank {

namespace {

constexpr int ThreadCount = 4;
constexpr int RoundsPerThread = 1000;

// Returns the value of each series, keyed by name and labels.
std::map<std::string, double> seriesOf(const Metrics &metrics)
{
    std::map<std::string, double> series;
    std::istringstream in(metrics.text());
    std::string line;
    while (std::getline(in, line)) {
        const size_t space = line.rfind(' ');
        if (!line.starts_with('#') && space != std::string::npos) {
            series[line.substr(0, space)] = std::stod(line.substr(space + 1));
        }
    }
    return series;
}

} // namespace

BOOST_AUTO_TEST_CASE(concurrentCountsAreExact)
{
    Metrics metrics;
    std::vector<std::thread> threads;
    for (int i = 0; i < ThreadCount; ++i) {
        threads.emplace_back([&] {
            for (int j = 0; j < RoundsPerThread; ++j) {
                metrics.served(StatementKind::Read, std::chrono::milliseconds(2));
                metrics.refused(StatementKind::Write,
                                refuse(Reason::NoPrimary, ExecutionOutcome::Unknown, "x"),
                                Duration::zero());
                metrics.refusedAtEntry(refuse(Reason::RateLimited, ExecutionOutcome::NotRun, "x"));
            }
        });
    }
    for (std::thread &it : threads) {
        it.join();
    }
    auto series = seriesOf(metrics);
    const double all = ThreadCount * RoundsPerThread;
    BOOST_TEST(series[R"(gentianplank_statements_total{fate="ran",kind="read",reason=""})"] == all);
    BOOST_TEST(
        series
            [R"(gentianplank_statements_total{fate="unknown",kind="write",reason="no_primary"})"] ==
        all);
    BOOST_TEST(series[R"(gentianplank_entry_refusals_total{reason="rate_limited"})"] == all);
    BOOST_TEST(
        series[R"(gentianplank_statement_duration_seconds_bucket{kind="read",le="0.001"})"] == 0);
    BOOST_TEST(
        series[R"(gentianplank_statement_duration_seconds_bucket{kind="read",le="0.003"})"] == all);
}

BOOST_AUTO_TEST_CASE(refusalsAreCountedByKindOutcomeAndReason)
{
    rc::check("each refusal is counted under its kind, outcome and reason", [] {
        Metrics metrics;
        std::map<std::string, double> expected;
        const auto refusals =
            *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
                rc::gen::inRange(0, 4), rc::gen::inRange(0, 3), rc::gen::inRange(0, 15)));
        for (const auto &[kind, outcome, reason] : refusals) {
            const auto statement = static_cast<StatementKind>(kind);
            const Refusal refusal =
                refuse(static_cast<Reason>(reason), static_cast<ExecutionOutcome>(outcome), "x");
            metrics.refused(statement, refusal, Duration::zero());
            ++expected["gentianplank_statements_total{fate=\"" +
                       std::string(toString(refusal.outcome)) + "\",kind=\"" +
                       std::string(toString(statement)) + "\",reason=\"" +
                       std::string(toString(refusal.reason)) + "\"}"];
        }
        auto series = seriesOf(metrics);
        for (const auto &[name, count] : expected) {
            RC_ASSERT(series[name] == count);
        }
    });
}

BOOST_AUTO_TEST_CASE(sampledGaugesAreReadAtEachCollectionUntilStop)
{
    Metrics metrics;
    double value = 1;
    metrics.sample("gentianplank_ready", "x", {}, [&] { return value; });
    metrics.sampleEach("gentianplank_group_term", "x", [] {
        return std::vector<LabelledValue>{{{{"group", "a"}}, 3}, {{{"group", "b"}}, 4}};
    });
    BOOST_TEST(seriesOf(metrics)["gentianplank_ready"] == 1);
    value = 0;
    BOOST_TEST(seriesOf(metrics)["gentianplank_ready"] == 0);
    BOOST_TEST(seriesOf(metrics)[R"(gentianplank_group_term{group="b"})"] == 4);
    metrics.stop();
    BOOST_TEST(seriesOf(metrics).count("gentianplank_ready") == 0U);
}

BOOST_AUTO_TEST_CASE(exposeReportsAddressThatCannotBeBound)
{
    Metrics metrics;
    BOOST_TEST(!metrics.expose("256.0.0.1:80").empty());
}

} // namespace gentianplank
