// The next member list that a VM may store to join, leave or expel another.
//
//     auto next = listWithJoined(stored, self, answers);
//     if (next) { log.write(stored, *next, writeId, timeout); }
#pragma once

#include "gentianplank/vm/member_log.h"
#include "gentianplank/vm/membership_lease.h"

#include <optional>

namespace gentianplank {

// The newest answer of each VM; a listed VM puts its own state in under its name.
using PeerAttestations = std::map<std::string, Attestation, std::less<>>;

// Returns this VM's view of the answers, its own state included.
PeerAttestations attestationsWithOwn(const MembershipLease &standing, Instant now);

// Each function below returns the list to store next, or nothing while the stored list isn't known
// to be accepted, or while no majority of the next list has answered since `heardSince`: a list
// whose majority is gone could never be accepted, nor replaced. A list differs from the one before
// by one VM. Deterministic.

// For a VM that isn't listed. An older incarnation of the same name is removed first; it may still
// run. The new incarnation's number is the stored list's revision + 1.
std::optional<VmDirectory> listWithJoined(const StoredMembers &stored, const VmInfo &self,
                                          const PeerAttestations &answers, Instant heardSince);

// Marks the VM as leaving.
std::optional<VmDirectory> listWithLeaving(const StoredMembers &stored, std::string_view vm,
                                           uint64_t incarnation, const PeerAttestations &answers,
                                           Instant heardSince);

// Removes that incarnation, which died or has left. Nothing when it isn't listed.
std::optional<VmDirectory> listWithRemoved(const StoredMembers &stored, std::string_view vm,
                                           uint64_t incarnation, const PeerAttestations &answers,
                                           Instant heardSince);

} // namespace gentianplank
