#include "gentianplank/store/store_clock.h"

#include <algorithm>

namespace gentianplank {

namespace {

// Clocks whose speeds differ by 10 ppm drift apart by less than 1 ms in this time.
constexpr Duration SampleLifetime = std::chrono::seconds(60);
// Of exchanges closer together than this, only the one with the tightest bound is kept.
constexpr Duration MinSampleInterval = std::chrono::seconds(1);
// Covers the drift between samples and the rounding of times to whole milliseconds.
constexpr Duration ErrorMargin = std::chrono::milliseconds(3);

} // namespace

void recordExchange(StoreClock &clock, BootInstant sentAt, Duration storeTime,
                    BootInstant receivedAt)
{
    auto &samples = clock.samples;
    const Duration offset = sentAt.time_since_epoch() - storeTime;
    // No answer can be made after it is received. A sample that implies so is from before a change
    // of the store's clock.
    std::erase_if(samples, [&](const StoreClock::Sample &it) {
        return it.at < receivedAt - SampleLifetime ||
               it.minOffset > receivedAt.time_since_epoch() - storeTime + ErrorMargin;
    });
    if (!samples.empty() && receivedAt - samples.back().at < MinSampleInterval) {
        samples.back().minOffset = std::max(samples.back().minOffset, offset);
        return;
    }
    samples.push_back({receivedAt, offset});
}

BootInstant answerTimeLowerBound(StoreClock &clock, BootInstant sentAt, Duration storeTime,
                                 BootInstant receivedAt)
{
    recordExchange(clock, sentAt, storeTime, receivedAt);
    Duration offset = Duration::min();
    for (const StoreClock::Sample &it : clock.samples) {
        offset = std::max(offset, it.minOffset);
    }
    const BootInstant at(storeTime + offset - ErrorMargin);
    return std::clamp(at, sentAt, std::max(sentAt, receivedAt));
}

} // namespace gentianplank
