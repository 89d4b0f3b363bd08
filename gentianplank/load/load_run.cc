#include "gentianplank/load/load_run.h"

#include <algorithm>
#include <sstream>
#include <thread>

namespace gentianplank {

namespace {

constexpr unsigned PermilleOfAll = 1000;
constexpr unsigned MedianPermille = 500;
constexpr unsigned P99Permille = 990;

LoadResult runThread(const LoadCall &call, Instant measureFrom, Instant until)
{
    LoadResult result;
    for (Instant start = steadyNow(); start < until;) {
        const bool isServed = call();
        const Instant end = steadyNow();
        if (start >= measureFrom) {
            ++(isServed ? result.served : result.refused);
            if (isServed) {
                result.latencies.push_back(end - start);
            }
        }
        start = end;
    }
    return result;
}

} // namespace

LoadResult runLoad(const LoadOptions &options, const LoadCallFactory &factory)
{
    const Instant measureFrom = steadyNow() + options.warmUp;
    const Instant until = measureFrom + options.duration;
    std::vector<LoadResult> results(options.threads);
    std::vector<std::thread> threads;
    for (size_t i = 0; i < options.threads; ++i) {
        threads.emplace_back([&, i] { results[i] = runThread(factory(i), measureFrom, until); });
    }
    LoadResult total;
    total.duration = options.duration;
    for (size_t i = 0; i < options.threads; ++i) {
        threads[i].join();
        total.served += results[i].served;
        total.refused += results[i].refused;
        total.latencies.insert(total.latencies.end(), results[i].latencies.begin(),
                               results[i].latencies.end());
    }
    std::sort(total.latencies.begin(), total.latencies.end());
    return total;
}

Duration percentile(const LoadResult &result, unsigned permille)
{
    if (result.latencies.empty()) {
        return Duration::zero();
    }
    const size_t rank = (result.latencies.size() * permille + PermilleOfAll - 1) / PermilleOfAll;
    return result.latencies[std::max<size_t>(rank, 1) - 1];
}

double perSecond(const LoadResult &result)
{
    return static_cast<double>(result.served) /
           std::chrono::duration<double>(result.duration).count();
}

std::string render(const LoadResult &result)
{
    std::ostringstream out;
    out << static_cast<uint64_t>(perSecond(result)) << " statements/s, median "
        << percentile(result, MedianPermille).count() << " us, p99 "
        << percentile(result, P99Permille).count() << " us, refused " << result.refused;
    return out.str();
}

} // namespace gentianplank
