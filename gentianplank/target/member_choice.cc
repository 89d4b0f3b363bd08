#include "gentianplank/target/member_choice.h"

#include <algorithm>

namespace gentianplank {

namespace {

// What the way to a member and back costs. Another region counts for more than its 40 ms, since
// the link between regions is slow and paid by volume.
constexpr Duration SameZoneCost = std::chrono::milliseconds(1);
constexpr Duration SameRegionCost = std::chrono::milliseconds(6);
constexpr Duration OtherRegionCost = std::chrono::milliseconds(150);
// The primary is kept free for what only it can serve.
constexpr Duration PrimaryCost = std::chrono::milliseconds(15);
// A member that refuses since it lags costs another round trip or two.
constexpr Duration LaggingCost = std::chrono::milliseconds(60);
// A statement in service takes about this long.
constexpr Duration StatementCost = std::chrono::milliseconds(12);
constexpr Duration AvoidedCost = std::chrono::seconds(100);

Duration distanceCost(Distance distance)
{
    switch (distance) {
    case Distance::SameZone:
        return SameZoneCost;
    case Distance::SameRegion:
        return SameRegionCost;
    case Distance::OtherRegion:
        break;
    }
    return OtherRegionCost;
}

Duration costOf(const ReadCandidate &it)
{
    Duration cost = distanceCost(it.distance) + it.expectedWait;
    cost += StatementCost * it.inFlight / std::max(1U, it.slots);
    if (it.isPrimary) {
        cost += PrimaryCost;
    } else if (it.isBehind) {
        cost += LaggingCost;
    }
    if (it.isAvoided) {
        cost += AvoidedCost;
    }
    return cost;
}

} // namespace

std::vector<const ReadCandidate *> rankReaders(std::span<const ReadCandidate> candidates)
{
    std::vector<const ReadCandidate *> ranked;
    ranked.reserve(candidates.size());
    for (const ReadCandidate &it : candidates) {
        ranked.push_back(&it);
    }
    std::sort(ranked.begin(), ranked.end(), [](const ReadCandidate *a, const ReadCandidate *b) {
        const Duration costA = costOf(*a);
        const Duration costB = costOf(*b);
        return costA != costB ? costA < costB : a->id < b->id;
    });
    return ranked;
}

} // namespace gentianplank
