#include "gentianplank/target/position_history.h"

namespace gentianplank {

namespace {

// Longer than the staleness bound of any route that a replica can serve.
constexpr Duration RetentionPeriod = std::chrono::seconds(4);
// Bounds the history to about 80 samples. A read may lose up to this much of its staleness bound.
constexpr Duration MinSampleInterval = std::chrono::milliseconds(50);

} // namespace

void addSample(PositionHistory &history, uint64_t epoch, const PositionSample &sample)
{
    if (epoch < history.epoch) {
        return;
    }
    if (epoch > history.epoch) {
        history.epoch = epoch;
        history.samples.clear();
    }
    auto &samples = history.samples;
    if (!samples.empty() && sample.sentAt <= samples.back().sentAt) {
        return;
    }
    // The newest sample is always kept; older ones are at least MinSampleInterval apart.
    const size_t n = samples.size();
    if (n >= 2 && samples[n - 1].sentAt - samples[n - 2].sentAt < MinSampleInterval) {
        samples.pop_back();
    }
    samples.push_back(sample);
    while (samples.front().sentAt < sample.sentAt - RetentionPeriod) {
        samples.pop_front();
    }
}

std::optional<LogPosition> positionCovering(const PositionHistory &history, BootInstant before)
{
    std::optional<LogPosition> lowest;
    for (const PositionSample &it : history.samples) {
        if (it.sentAt >= before && (!lowest || it.position < *lowest)) {
            lowest = it.position;
        }
    }
    return lowest;
}

std::optional<PositionSample> newestSample(const PositionHistory &history)
{
    if (history.samples.empty()) {
        return std::nullopt;
    }
    return history.samples.back();
}

} // namespace gentianplank
