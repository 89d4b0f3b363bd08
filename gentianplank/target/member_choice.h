// Ranks the members that may serve a read by their expected cost: distance, load and lag.
//
//     auto ranked = rankReaders(candidates);
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/zone/place.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gentianplank {

// A member as known to the VM that the read entered through.
struct ReadCandidate
{
    std::string id;
    Distance distance = Distance::SameZone;
    bool isPrimary = false;
    // The expected wait for a slot, as last reported by the member's dispatcher.
    Duration expectedWait{0};
    // Statements of this VM that the member is executing.
    uint32_t inFlight = 0;
    // Statements that the member executes concurrently.
    uint32_t slots = 1;
    // The member isn't expected to have reached the position that the read needs.
    bool isBehind = false;
    // The member failed this statement before, or is unreachable.
    bool isAvoided = false;
    // Time between the requests that a cold member accepts; 0 if the member isn't cold.
    Duration coldInterval{0};
    // The age of the last report of the dispatcher; nothing if there was none.
    std::optional<Duration> reportAge = std::nullopt;
};

// The expected cost of a read at a member, by term.
struct ReadCost
{
    // Of the path to the member and back.
    Duration distance{0};
    // Until a slot is free: as reported, and for the statements of this VM under way.
    Duration wait{0};
    Duration inFlight{0};
    // The member is the primary, which other statements need.
    Duration primary{0};
    // The member is likely to refuse the read because it lags.
    Duration lag{0};
    // The member failed this statement before.
    Duration failed{0};
    // Until a cold member accepts the read after those of this VM under way.
    Duration cold{0};

    bool operator==(const ReadCost &) const = default;
};

// Thread-safe.
ReadCost readCost(const ReadCandidate &candidate);
Duration total(const ReadCost &cost);

// Returns the candidates, best first. The pointers refer into `candidates`. A member may hold more
// than is known here, so one that seems to be behind ranks lower but isn't left out. Thread-safe.
std::vector<const ReadCandidate *> rankReaders(std::span<const ReadCandidate> candidates);

} // namespace gentianplank
