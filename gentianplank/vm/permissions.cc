#include "gentianplank/vm/permissions.h"

namespace gentianplank {

VmState vmState(const MembershipLease &lease, bool leaving, Instant now)
{
    if (lease.expelled) {
        return VmState::Expelled;
    }
    if (!lease.joined) {
        return VmState::Joining;
    }
    if (!isLeaseValid(lease, now)) {
        return VmState::LeaseExpired;
    }
    if (leaving) {
        return VmState::Leaving;
    }
    return lease.provenBy == ProofKind::Store ? VmState::LeaseByStore : VmState::LeaseByMajority;
}

Permissions permissionsOf(VmState state)
{
    Permissions may;
    switch (state) {
    case VmState::Joining:
    case VmState::Expelled:
        break;
    case VmState::LeaseExpired:
        // Replies of a listed VM are valid without a lease, since they only report what it has
        // applied.
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
