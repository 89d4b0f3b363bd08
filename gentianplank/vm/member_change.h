// Computes the next member list for a VM that joins, leaves or expels another VM.
//
//     auto next = listWithJoined(stored, self, attestations, heardSince);
//     if (next) { log.write(stored, *next, writeId, timeout); }
#pragma once

#include "gentianplank/vm/member_log.h"
#include "gentianplank/vm/membership_lease.h"

#include <optional>

namespace gentianplank {

// The newest attestation of each VM, by name; a listed VM adds its own state.
using PeerAttestations = std::map<std::string, Attestation, std::less<>>;

// Returns the attestations of the lease, with this VM's own state if it has an incarnation.
PeerAttestations attestationsWithOwn(const MembershipLease &lease, Instant now);

// Each function below returns the list to store next, or nullopt if the stored list isn't known to
// be accepted, or if no majority of the next list has replied since `heardSince`: a list whose
// majority is gone could never be accepted or replaced. A list differs from its predecessor by one
// VM. Deterministic.

// For a VM that isn't listed. If an older incarnation of the same name is listed, the result
// removes it first, since it may still be running. The number of the new incarnation is the
// revision of the stored list + 1.
std::optional<VmDirectory> listWithJoined(const StoredMembers &stored, const VmInfo &self,
                                          const PeerAttestations &attestations, Instant heardSince);

// Marks the incarnation as leaving; nullopt if it isn't listed.
std::optional<VmDirectory> listWithLeaving(const StoredMembers &stored, std::string_view vm,
                                           uint64_t incarnation,
                                           const PeerAttestations &attestations,
                                           Instant heardSince);

// Removes the incarnation, which died or has left; nullopt if it isn't listed.
std::optional<VmDirectory> listWithRemoved(const StoredMembers &stored, std::string_view vm,
                                           uint64_t incarnation,
                                           const PeerAttestations &attestations,
                                           Instant heardSince);

} // namespace gentianplank
