// Relates the store's steady clock to this VM's boot clock, to estimate when the store made an
// answer.
//
//     recordExchange(clock, sentAt, storeTime, receivedAt);
//     BootInstant at = answerTimeLowerBound(clock, sentAt, storeTime, receivedAt);
#pragma once

#include "gentianplank/base/boot_clock.h"

#include <deque>

namespace gentianplank {

// Bounds of the offset between the clocks from the exchanges of the last minute. A plain value.
struct StoreClock
{
    struct Sample
    {
        BootInstant at{};
        // Lower bound of the boot clock's time minus the store's time.
        Duration minOffset{};
    };
    std::deque<Sample> samples;
};

// Records an exchange with the store: a request sent at `sentAt`, answered at `storeTime` of the
// store's clock, with the answer received at `receivedAt`.
void recordExchange(StoreClock &clock, BootInstant sentAt, Duration storeTime,
                    BootInstant receivedAt);

// Records the exchange and returns a lower bound of the time at which the answer was made. The
// bound is at least `sentAt`, and equals it as long as no shorter exchange gives a closer one.
BootInstant answerTimeLowerBound(StoreClock &clock, BootInstant sentAt, Duration storeTime,
                                 BootInstant receivedAt);

} // namespace gentianplank
