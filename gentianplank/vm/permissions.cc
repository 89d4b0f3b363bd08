#include "gentianplank/vm/permissions.h"

namespace gentianplank {

VmState vmState(const MembershipLease &standing, bool leaving, Instant now)
{
    if (standing.expelled) {
        return VmState::Expelled;
    }
    if (!standing.joined) {
        return VmState::Joining;
    }
    if (!isLeaseValid(standing, now)) {
        return VmState::LeaseExpired;
    }
    if (leaving) {
        return VmState::Leaving;
    }
    return standing.provenBy == ProofKind::Store ? VmState::LeaseByStore : VmState::LeaseByMajority;
}

Permissions permissionsOf(VmState state)
{
    Permissions may;
    switch (state) {
    case VmState::Joining:
    case VmState::Expelled:
        break;
    case VmState::LeaseExpired:
        // Answers of a listed VM hold without standing: they only tell what it has applied.
        may.attest = true;
        may.witness = true;
        break;
    case VmState::Leaving:
        may.useRateSlices = true;
        may.attest = true;
        may.witness = true;
        break;
    case VmState::LeaseByStore:
    case VmState::LeaseByMajority:
        may = {true, true, true, true, true, true, true};
        break;
    }
    return may;
}

std::string_view toString(VmState state)
{
    switch (state) {
    case VmState::Joining:
        return "joining";
    case VmState::LeaseByStore:
        return "by_store";
    case VmState::LeaseByMajority:
        return "by_majority";
    case VmState::LeaseExpired:
        return "cut_off";
    case VmState::Expelled:
        return "expelled";
    case VmState::Leaving:
        return "leaving";
    }
    return {};
}

} // namespace gentianplank
