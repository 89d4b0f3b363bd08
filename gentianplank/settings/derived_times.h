// Timeouts and delays derived from the platform's bounds for a deployment.
//
//     const DerivedTimes times = derivedTimes(settings);
//     if (bootNow() - provenAt < times.configurationProofLifetime) { ... }
#pragma once

#include "gentianplank/settings/entry_vm_settings.h"

namespace gentianplank {

struct DerivedTimes
{
    // How long a proof that the configuration is current admits statements. Ends shortly before a
    // key that was withdrawn in the meantime must be refused.
    Duration configurationProofLifetime{0};
    // Long-poll timeout of the configuration feed: how long the store may hold a request while
    // nothing changes. Short enough that the proof is renewed in time even if one reply is lost.
    Duration configurationFeedWait{0};
    // Long-poll timeout of the member feed. Short enough that a leaving member is noticed within
    // the drain limit.
    Duration memberFeedWait{0};
    // How long a leaving primary is sent new work.
    Duration leavingPrimaryUse{0};
    // How long a VM waits before it raises its rate share after a change. By then every VM that
    // still used its share from an older view has lost its configuration proof and has stopped.
    Duration rateIncreaseDelay{0};
    // How long an organisation whose limit was lowered may spend the tokens it has accumulated.
    Duration rateReductionTime{0};
};

// Computes the times from the limits in `settings`. Thread-safe.
DerivedTimes derivedTimes(const EntryVmSettings &settings);

// Returns one message for each bound that is too short to serve statements under; empty if all
// are long enough. Thread-safe.
std::vector<std::string> tooShortBounds(const EntryVmSettings &settings);

} // namespace gentianplank
