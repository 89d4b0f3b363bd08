// A position in a database group's log.
//
//     if (covers(replica.position, session.requiredPosition)) { ... }  // the replica has the write
#pragma once

#include "gentianplank/proto/common.pb.h"

#include <compare>
#include <cstdint>

namespace gentianplank {

// Ordered by term, then by position.
struct LogPosition
{
    uint64_t term = 0;
    uint64_t position = 0;

    auto operator<=>(const LogPosition &) const = default;
};

// Whether a member at `have` has the acknowledged write at `need`. A log of a later term holds
// every acknowledged write of earlier terms at its old position, so neither number may be lower.
bool covers(const LogPosition &have, const LogPosition &need);

// Returns the smallest position that covers both: the larger of each number.
LogPosition mergePositions(const LogPosition &a, const LogPosition &b);

LogPosition fromWire(const common::v1::LogPosition &wire);
void toWire(const LogPosition &position, common::v1::LogPosition *wire);

} // namespace gentianplank
