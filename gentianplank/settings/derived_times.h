// Times that follow from the platform's bounds for a deployment.
//
//     const DerivedTimes times = derivedTimes(settings);
//     if (bootNow() - provenAt < times.configurationProof) { ... }
#pragma once

#include "gentianplank/settings/entry_vm_settings.h"

namespace gentianplank {

struct DerivedTimes
{
    // How long a proof of the configuration allows statements: until just before a key that was
    // withdrawn meanwhile has to be refused.
    Duration configurationProof{0};
    // How long the store may wait before it answers a feed of the configuration without changes:
    // the proof must be renewed in time though one answer is lost.
    Duration configurationWait{0};
    // The same for the feed of members: one that leaves must be known in time.
    Duration memberWait{0};
    // How long a leaving primary gets new work.
    Duration leavingUse{0};
    // When every VM that filled a part of a rate under an older view has stopped: it lost its proof
    // of the configuration.
    Duration rateGrowth{0};
    // How long an organisation whose limit was lowered may use what it had saved up.
    Duration rateLowering{0};
};

// Thread-safe.
DerivedTimes derivedTimes(const EntryVmSettings &settings);

// What the bounds leave too little time for, one short sentence each. Thread-safe.
std::vector<std::string> tightBounds(const EntryVmSettings &settings);

} // namespace gentianplank
