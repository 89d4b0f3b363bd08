// Which member serves a read, given how busy and how far the members are.
//
//     auto ranked = rankReaders(candidates);
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/zone/place.h"

#include <span>
#include <string>
#include <vector>

namespace gentianplank {

// A member as an entry VM sees it.
struct ReadCandidate
{
    std::string id;
    Distance distance = Distance::SameZone;
    bool isPrimary = false;
    // What its dispatcher said last of the wait for a slot.
    Duration expectedWait{0};
    // Statements of this VM that it serves now.
    uint32_t inFlight = 0;
    uint32_t slots = 1;
    // Is not expected to hold what the read needs yet.
    bool isBehind = false;
    // Failed this statement before, or can't be reached at the moment.
    bool isAvoided = false;
};

// Orders the candidates, the best first. A member may hold more than is known here, so one that
// seems behind comes later but is not left out.
std::vector<const ReadCandidate *> rankReaders(std::span<const ReadCandidate> candidates);

} // namespace gentianplank
