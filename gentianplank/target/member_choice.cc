#include "gentianplank/target/member_choice.h"

#include <algorithm>

namespace gentianplank {

namespace {

// Cost of the round trip to a member. Another region costs more than its round trip of 40 ms, since
// the link between regions is slow and billed by volume.
constexpr Duration SameZoneCost = std::chrono::milliseconds(1);
constexpr Duration SameRegionCost = std::chrono::milliseconds(6);
constexpr Duration OtherRegionCost = std::chrono::milliseconds(150);
// Keeps the primary free for statements that only it can serve.
constexpr Duration PrimaryCost = std::chrono::milliseconds(15);
// A member that refuses a read because it lags costs one or two more round trips.
constexpr Duration LaggingCost = std::chrono::milliseconds(60);
// Typical execution time of a statement.
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
