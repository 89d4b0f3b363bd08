// Defines what a VM may do in each state of its membership. The table in docs/design/fleet.md lists
// the same.
//
//     const Permissions may = permissionsOf(vmState(lease, leaving, now));
//     if (!may.serveCallers) { ... }
#pragma once

#include "gentianplank/vm/membership_lease.h"

#include <string_view>

namespace gentianplank {

enum class VmState {
    // Started, but not yet in the committed list.
    Joining,
    // The lease is valid; the latest proof is a store read.
    LeaseByStore,
    // The lease is valid; the latest proof is a majority of attestations.
    LeaseByMajority,
    // Listed, but the latest proof is too old.
    LeaseExpired,
    Expelled,
    // Shutting down with a valid lease: finishes the work it has.
    Leaving,
};

struct Permissions
{
    // Accept new requests of callers.
    bool serveCallers = false;
    // Use quota slices of organisations' rates, and continue requests that were admitted.
    bool useRateSlices = false;
    // Allocate quota slices to other VMs.
    bool lend = false;
    // Attest that other VMs are listed.
    bool attest = false;
    // Count towards the majority that has applied a revision.
    bool witness = false;
    // Store changes of operators. The store's conditional write decides.
    bool submitChanges = false;
    // Promote a member of a group. The store's conditional write decides.
    bool promote = false;
};

// `leaving`: the VM is shutting down. Deterministic.
VmState vmState(const MembershipLease &lease, bool leaving, Instant now);

Permissions permissionsOf(VmState state);

// Returns the name of a state in lower case, such as "cut_off".
std::string_view toString(VmState state);

} // namespace gentianplank
