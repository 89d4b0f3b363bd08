#include "gentianplank/bench/noisy_neighbour_case.h"

#include "gentianplank/organisation/fair_queue.h"

#include <algorithm>
#include <random>

namespace gentianplank {

namespace {

constexpr Duration RunDuration = std::chrono::seconds(60);
constexpr Duration QueueTimeout = std::chrono::seconds(2);
constexpr size_t MaxQueueLength = 1000;
// The total load of all organisations at their normal rate, as a fraction of the target's slots.
constexpr double BaseLoad = 0.6;
constexpr double FloodFactor = 10;
constexpr double MeanSmallHoldMs = 8;
constexpr int MinSmallHoldMs = 4;
constexpr int SmallHoldRangeMs = 9;
constexpr int BulkHoldMs = 60;
// Of this many statements of the noisy neighbour, one is a part of a bulk pull.
constexpr uint64_t StatementsPerBulk = 5;
constexpr double MinCompletedPercent = 95;
constexpr double MaxSlowdown = 2;

struct Arrival
{
    Instant at{};
    size_t organisation = 0;
    int holdMs = 0;
    bool isBulk = false;
};

struct Workload
{
    bool hasNeighbour = true;
    // The neighbour's load as a multiple of its normal load.
    double neighbourFactor = 1;
    bool hasBulk = false;
    // The only organisation that sends; nullopt means all of them.
    std::optional<size_t> alone;
};

struct ServiceResult
{
    double completed = 0;
    std::vector<double> latencyMs;
};

// Draws arrivals at uniformly distributed times. Each organisation has a generator of its own, so
// its arrivals are the same whichever other organisations send.
std::vector<Arrival> makeArrivals(const BenchOptions &options, const Workload &workload)
{
    std::vector<Arrival> arrivals;
    const size_t n = options.fleet.organisations;
    const double perSecond =
        BaseLoad * options.fleet.slots * 1000 / MeanSmallHoldMs / static_cast<double>(n);
    for (size_t i = 0; i < n; ++i) {
        const bool isNeighbour = i == 0;
        if ((isNeighbour && !workload.hasNeighbour) || (workload.alone && *workload.alone != i)) {
            continue;
        }
        std::mt19937_64 random(options.seed * 100 + i);
        const double rate = perSecond * (isNeighbour ? workload.neighbourFactor : 1);
        const auto count =
            static_cast<uint64_t>(rate * static_cast<double>(RunDuration.count()) / 1e6);
        for (uint64_t k = 0; k < count; ++k) {
            const auto at =
                static_cast<Duration::rep>(random() % static_cast<uint64_t>(RunDuration.count()));
            const int holdMs = MinSmallHoldMs + static_cast<int>(random() % SmallHoldRangeMs);
            const bool isBulk = isNeighbour && workload.hasBulk && k % StatementsPerBulk == 0;
            arrivals.push_back({Instant(Duration(at)), i, isBulk ? BulkHoldMs : holdMs, isBulk});
        }
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
    return arrivals;
}

// Runs the arrivals through the queue of one target. If `fair` is false, all organisations share
// one lane and are served in order of arrival.
std::vector<ServiceResult> serve(const BenchOptions &options, const std::vector<Arrival> &arrivals,
                                 bool fair)
{
    FairQueue queue = makeFairQueue(fair ? MaxQueueLength : 2 * MaxQueueLength);
    queue.slots = options.fleet.slots;
    std::vector<ServiceResult> results(options.fleet.organisations);
    std::multimap<Instant, uint64_t> ends;
    const auto startStatements = [&](Instant now) {
        expire(queue, now);
        while (const auto number = next(queue, now)) {
            ends.emplace(now + std::chrono::milliseconds(arrivals[*number].holdMs), *number);
        }
    };
    const auto finishUntil = [&](Instant now) {
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto [at, number] = *ends.begin();
            ends.erase(ends.begin());
            const Arrival &it = arrivals[number];
            finish(queue, number, at);
            ServiceResult &result = results[it.organisation];
            ++result.completed;
            result.latencyMs.push_back(static_cast<double>((at - it.at).count()) / 1e3);
            startStatements(at);
        }
    };
    for (size_t i = 0; i < arrivals.size(); ++i) {
        const Arrival &it = arrivals[i];
        finishUntil(it.at);
        const std::string lane = fair ? std::to_string(it.organisation) : "all";
        const double cost = fair && it.isBulk ? BulkCost : 1;
        enqueue(queue, {i, lane, 1, cost, it.at + QueueTimeout}, it.at);
        startStatements(it.at);
    }
    finishUntil(Instant::max());
    return results;
}

struct WorstResult
{
    double completedPercent = 100;
    double slowdown = 0;
};

// Compares each organisation except the noisy neighbour in two runs, and returns the worst ratios.
WorstResult compare(const std::vector<ServiceResult> &with,
                    const std::vector<ServiceResult> &without)
{
    WorstResult worst;
    for (size_t i = 1; i < with.size(); ++i) {
        worst.completedPercent =
            std::min(worst.completedPercent, 100 * with[i].completed / without[i].completed);
        const double before = percentile(without[i].latencyMs, 99);
        worst.slowdown = std::max(worst.slowdown, percentile(with[i].latencyMs, 99) / before);
    }
    return worst;
}

CaseReport measure(const BenchOptions &options, bool hasBulk)
{
    const auto flooded = makeArrivals(options, {true, FloodFactor, hasBulk, std::nullopt});
    const auto quiet = serve(options, makeArrivals(options, {false, 1, false, std::nullopt}), true);
    std::vector<ServiceResult> alone(options.fleet.organisations);
    for (size_t i = 1; i < alone.size(); ++i) {
        alone[i] = serve(options, makeArrivals(options, {false, 1, false, i}), true)[i];
    }
    const auto fair = serve(options, flooded, true);
    const auto naive = serve(options, flooded, false);
    const WorstResult worst = compare(fair, quiet);
    const WorstResult worstNaive = compare(naive, quiet);
    const WorstResult worstAlone = compare(fair, alone);
    CaseReport report;
    addFigure(report, {"worst_completed", "% without neighbour", worst.completedPercent,
                       worstNaive.completedPercent, atLeast(MinCompletedPercent)});
    addFigure(report, {"worst_p99", "x without neighbour", worst.slowdown, worstNaive.slowdown,
                       atMost(MaxSlowdown)});
    addFigure(report, {"worst_completed_alone", "% target to itself", worstAlone.completedPercent,
                       std::nullopt, atLeast(MinCompletedPercent)});
    addFigure(report, {"worst_p99_alone", "x target to itself", worstAlone.slowdown, std::nullopt,
                       atMost(MaxSlowdown)});
    return report;
}

} // namespace

CaseReport runNoisyNeighbourCase(const BenchOptions &options)
{
    return measure(options, false);
}

CaseReport runWorstServedCase(const BenchOptions &options)
{
    return measure(options, true);
}

} // namespace gentianplank
