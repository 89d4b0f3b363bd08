// Small model of the reads of one group: VMs in zones, members with slots and a queue each, and the
// delays between them. Compares policies that choose the member of a read.
//
//     const ZoneModelResult result = runZoneModel(options, ModelPolicy::Adaptive);
#pragma once

#include "gentianplank/target/member_choice.h"
#include "gentianplank/target/zone_balance.h"

#include <functional>
#include <string>
#include <vector>

namespace gentianplank {

enum class ModelPolicy {
    // member_choice: least reported wait with a constant cost for distance.
    LeastCost,
    Adaptive,
    // Constant weights by distance: 8, 2, 0.25.
    FixedWeights,
    // The nearest member with a wait below 20 ms.
    Threshold,
    // Shares that one place computes every second from all VMs' reads.
    CentralShare,
};

std::string_view toString(ModelPolicy policy);

struct ModelMember
{
    Place place;
    bool isPrimary = false;
    uint32_t slots = 4;
    // It reports that there is no wait, whatever its queue.
    bool reportsNoWait = false;
    // Additional round trip to it, such as of a slow zone.
    Duration slowness{0};
};

struct ZoneModelOptions
{
    size_t vms = 61;
    std::vector<ModelMember> members;
    // Reads per second of all VMs of zone 0 to 5 at a time in seconds. Zones 0 to 2 are in region
    // "r", the others in "t".
    std::function<double(size_t zone, double seconds)> readsPerSecond;
    // Writes per second of all VMs, at the primary.
    double writesPerSecond = 0;
    double seconds = 20;
    // Reports reach the VMs this much later than the answers, and the VMs know it.
    Duration reportDelay{0};
    Duration objective = std::chrono::milliseconds(100);
    uint64_t seed = 1;
};

struct ZoneModelResult
{
    // Parts of the reads by distance between VM and member, in the second half of the run.
    std::array<double, DistanceCount> parts{};
    // The same by zone of the VM, for reads that left their zone, by windows of ShareInterval.
    std::vector<std::array<double, 6>> leftZone;
    // Of all reads of the second half.
    Duration median{0};
    Duration p99{0};
    double insideObjective = 0;
    size_t reads = 0;
    std::array<size_t, 8> readsOfMember{};
};

Place modelPlace(size_t zone);

// Three members in zones 0, 1 and 3, the first one the primary.
std::vector<ModelMember> modelGroup();

// Deterministic: the same options give the same result.
ZoneModelResult runZoneModel(const ZoneModelOptions &options, ModelPolicy policy);

} // namespace gentianplank
