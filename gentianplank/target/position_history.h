// Log positions of a group's primary over the last seconds, which give the position that a read
// must cover to satisfy its staleness bound.
//
//     addSample(history, epoch, {position, requestSentAt});
//     auto position = positionCovering(history, arrivedAt - route.staleness);
#pragma once

#include "gentianplank/base/boot_clock.h"
#include "gentianplank/session/log_position.h"

#include <deque>
#include <optional>

namespace gentianplank {

// The position that the primary reported in answer to a request sent at `sentAt`. It covers every
// commit that was acknowledged before `sentAt`.
struct PositionSample
{
    LogPosition position;
    BootInstant sentAt{};
};

// Samples of one epoch, oldest first.
struct PositionHistory
{
    uint64_t epoch = 0;
    std::deque<PositionSample> samples;
};

// Adds a sample of the epoch's primary. This VM must have held the primary lease when the answer
// arrived. Samples of earlier epochs are dropped.
void addSample(PositionHistory &history, uint64_t epoch, const PositionSample &sample);

// Returns the lowest known position that covers every commit acknowledged before `before`; nullopt
// if none is known.
std::optional<LogPosition> positionCovering(const PositionHistory &history, BootInstant before);

// Returns the newest sample; nullopt if there is none.
std::optional<PositionSample> newestSample(const PositionHistory &history);

} // namespace gentianplank
