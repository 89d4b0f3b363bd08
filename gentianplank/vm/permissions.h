// What a VM may do in each state of its membership. The table in docs/design/fleet.md shows the
// same.
//
//     const Permissions may = permissionsOf(vmState(standing, leaving, now));
//     if (!may.serveCallers) { ... }
#pragma once

#include "gentianplank/vm/membership_lease.h"

#include <string_view>

namespace gentianplank {

enum class VmState {
    // Started, not yet in the committed list.
    Joining,
    LeaseByStore,
    LeaseByMajority,
    // Listed, but without a proof that is recent enough.
    LeaseExpired,
    Expelled,
    // Shuts down: finishes what it has. Has standing.
    Leaving,
};

struct Permissions
{
    // Take callers' new requests.
    bool serveCallers = false;
    // Use slices of organisations' rates, and go on with requests that were let in.
    bool useRateSlices = false;
    // Lend slices to others.
    bool lend = false;
    // Confirm other VMs of the list.
    bool attest = false;
    // Count as one that has applied a revision.
    bool witness = false;
    // Store operators' changes. The store's conditional write decides.
    bool submitChanges = false;
    // Promote a group's member. The store's conditional write decides.
    bool promote = false;
};

VmState vmState(const MembershipLease &standing, bool leaving, Instant now);

Permissions permissionsOf(VmState state);

// Names a state in lower case, such as "cut_off".
std::string_view toString(VmState state);

} // namespace gentianplank
