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

} // namespace

ReadCost readCost(const ReadCandidate &candidate)
{
    ReadCost cost;
    cost.distance = distanceCost(candidate.distance);
    cost.wait = candidate.expectedWait;
    cost.inFlight = StatementCost * candidate.inFlight / std::max(1U, candidate.slots);
    if (candidate.isPrimary) {
        cost.primary = PrimaryCost;
    } else if (candidate.isBehind) {
        cost.lag = LaggingCost;
    }
    cost.cold = candidate.coldInterval * (candidate.inFlight + 1);
    if (candidate.isAvoided) {
        cost.failed = AvoidedCost;
    }
    return cost;
}

Duration total(const ReadCost &cost)
{
    return cost.distance + cost.wait + cost.inFlight + cost.primary + cost.lag + cost.failed +
           cost.cold;
}

std::vector<const ReadCandidate *> rankReaders(std::span<const ReadCandidate> candidates)
{
    std::vector<const ReadCandidate *> ranked;
    ranked.reserve(candidates.size());
    for (const ReadCandidate &it : candidates) {
        ranked.push_back(&it);
    }
    std::sort(ranked.begin(), ranked.end(), [](const ReadCandidate *a, const ReadCandidate *b) {
        const Duration costA = total(readCost(*a));
        const Duration costB = total(readCost(*b));
        return costA != costB ? costA < costB : a->id < b->id;
    });
    return ranked;
}

} // namespace gentianplank
