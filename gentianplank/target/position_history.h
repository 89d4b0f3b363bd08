// Positions of a group's primary over the last seconds: what a read must cover to be fresh enough.
//
//     addSample(history, {position, requestSentAt}, epoch);
//     auto position = positionCovering(history, arrivedAt - route.staleness);
#pragma once

#include "gentianplank/base/boot_clock.h"
#include "gentianplank/session/log_position.h"

#include <deque>
#include <optional>

namespace gentianplank {

// The primary said `position` in answer to a request sent at `sentAt`: every commit that was
// acknowledged before then is covered by it.
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

// Takes a sample of the epoch's primary; the primary must have been in use by right when its
// answer came. Samples of earlier epochs are dropped.
void addSample(PositionHistory &history, uint64_t epoch, const PositionSample &sample);

// Returns the lowest known position that covers every commit acknowledged before `before`.
std::optional<LogPosition> positionCovering(const PositionHistory &history, BootInstant before);

// Returns the newest sample.
std::optional<PositionSample> newestSample(const PositionHistory &history);

} // namespace gentianplank
