// Relates the store's steady clock to this VM's boot clock, to tell when an answer was made.
//
//     noteExchange(clock, sentAt, storeTime, receivedAt);
//     BootInstant at = answerTimeLowerBound(clock, sentAt, storeTime, receivedAt);
#pragma once

#include "gentianplank/base/boot_clock.h"

#include <deque>

namespace gentianplank {

// What the exchanges of the last minute say of the clocks' difference. A plain value.
struct StoreClock
{
    struct Sample
    {
        BootInstant at{};
        // The boot clock's time less the store's is at least this.
        Duration leastOffset{};
    };
    std::deque<Sample> samples;
};

// Notes an exchange with the store: sent, answered at the store's time, received.
void noteExchange(StoreClock &clock, BootInstant sentAt, Duration storeTime,
                  BootInstant receivedAt);

// Returns a moment at which the answer was surely not made yet, close to when it was made. Never
// before `sentAt`, and `sentAt` while the clocks' difference is not known.
BootInstant answerTimeLowerBound(StoreClock &clock, BootInstant sentAt, Duration storeTime,
                                 BootInstant receivedAt);

} // namespace gentianplank
