#include "gentianplank/store/store_clock.h"

#include <algorithm>

namespace gentianplank {

namespace {

// Clocks that differ in speed by a thousandth of a percent drift by less than a millisecond.
constexpr Duration SampleMemory = std::chrono::seconds(60);
// Of exchanges this close together only the one that says most is kept.
constexpr Duration Resolution = std::chrono::seconds(1);
// For the drift between samples, and for times in whole milliseconds.
constexpr Duration Margin = std::chrono::milliseconds(3);

} // namespace

void noteExchange(StoreClock &clock, BootInstant sentAt, Duration storeTime, BootInstant receivedAt)
{
    auto &samples = clock.samples;
    const Duration offset = sentAt.time_since_epoch() - storeTime;
    // No exchange can have been answered after it was received; if one says so, the store has
    // another clock than before.
    std::erase_if(samples, [&](const StoreClock::Sample &it) {
        return it.at < receivedAt - SampleMemory ||
               it.leastOffset > receivedAt.time_since_epoch() - storeTime + Margin;
    });
    if (!samples.empty() && receivedAt - samples.back().at < Resolution) {
        samples.back().leastOffset = std::max(samples.back().leastOffset, offset);
        return;
    }
    samples.push_back({receivedAt, offset});
}

BootInstant answerTimeLowerBound(StoreClock &clock, BootInstant sentAt, Duration storeTime,
                                 BootInstant receivedAt)
{
    noteExchange(clock, sentAt, storeTime, receivedAt);
    Duration offset = Duration::min();
    for (const StoreClock::Sample &it : clock.samples) {
        offset = std::max(offset, it.leastOffset);
    }
    const BootInstant at(storeTime + offset - Margin);
    return std::clamp(at, sentAt, std::max(sentAt, receivedAt));
}

} // namespace gentianplank
