// A VM's membership lease: while it is valid, the VM may use what the fleet shares (keys, rate
// slices, roles).
//
// The lease is valid for MembershipLeaseDuration after the VM last proved that it isn't expelled:
// by reading the store, or by attestations from a majority of its membership partition. The lease
// starts at the time before the request was sent, so that transit times only shorten it. A
// proof counts only once the VM has applied every revision that the replies reported.
//
// A revision is accepted when it is stored and a majority of the list has applied it. Majorities
// intersect, so every proof requested later reports it; EnforcedAfterAcceptance after the
// acceptance, no VM with a valid lease acts on an older revision. Three rules keep majorities
// intersecting while lists change: a list changes by one VM at a time; the next list is stored only
// after the current one is accepted; and a VM applies a list only after the configuration that was
// stored before it.
//
//     MembershipLease lease = makeMembershipLease("vm-1", 7);
//     applyMembers(lease, list);
//     recordStoreProof(lease, requestSentAt, {head, list.revision});
//     if (!isLeaseValid(lease, now)) { return refuse(Reason::NoMembershipLease, ...); }
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/vm/vm_directory.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// How long a proof keeps the lease valid.
inline constexpr Duration MembershipLeaseDuration = std::chrono::milliseconds(2500);

// Upper bound on the drift between the clocks of two VMs over MembershipLeaseDuration.
inline constexpr Duration ClockDrift = std::chrono::milliseconds(50);

// This long after its acceptance, a revision is applied by every VM whose lease is valid.
inline constexpr Duration EnforcedAfterAcceptance = MembershipLeaseDuration + ClockDrift;

// The newest revisions that a VM has applied, or that the store holds.
struct Revisions
{
    uint64_t configuration = 0;
    uint64_t members = 0;
};

// Whether `applied` is at least as new as `reported` in both revisions.
bool covers(const Revisions &applied, const Revisions &reported);

// The latest heartbeat reply of a peer.
struct Attestation
{
    uint64_t incarnation = 0;
    // The local time just before the request was sent.
    Instant requestSentAt{};
    Revisions reported;
    // The peer lists this VM's incarnation, so the reply counts towards a majority proof.
    bool isAttested = false;
};

struct StoreProof
{
    Instant requestSentAt{};
    Revisions reported;
};

enum class ProofKind {
    None,
    Store,
    Majority,
};

// The state behind this VM's lease. A plain value of the control thread; it does no locking.
struct MembershipLease
{
    std::string vm;
    // 0 until the VM has stored itself in the list.
    uint64_t incarnation = 0;
    // The VM has applied a list that names this incarnation.
    bool joined = false;
    // The VM has applied a later list that doesn't name it. Final for this incarnation.
    bool expelled = false;
    // The newest configuration revision that the VM has applied.
    uint64_t configuration = 0;
    // The list that the VM has applied.
    VmDirectory members;
    // A newer list that can't be applied until its configuration is.
    std::optional<VmDirectory> pending;
    std::optional<StoreProof> storeProof;
    std::map<std::string, Attestation, std::less<>> attestations;
    // The local time just before the request behind the latest proof was sent, and the kind of that
    // proof.
    Instant provenAt{};
    ProofKind provenBy = ProofKind::None;
};

MembershipLease makeMembershipLease(std::string_view vm, uint64_t incarnation);

// Sets the incarnation after the list that names it was stored. It is greater than the revision of
// every earlier list. No effect if the VM already has one.
void startIncarnation(MembershipLease &lease, uint64_t incarnation);

// The revisions that this VM reports to its peers.
Revisions appliedRevisions(const MembershipLease &lease);

// Records that the configuration was applied up to `revision`; ignores an older one.
void applyConfiguration(MembershipLease &lease, uint64_t revision);

// Applies a newer list, or keeps it until its configuration is applied. Ignores an older list.
void applyMembers(MembershipLease &lease, const VmDirectory &list);

// Records the revisions that the store holds; `requestSentAt` is the time just before the read was
// sent.
void recordStoreProof(MembershipLease &lease, Instant requestSentAt, const Revisions &reported);

// Records a peer's reply; ignores a reply to an earlier request than the latest one recorded.
void recordAttestation(MembershipLease &lease, std::string_view peer,
                       const Attestation &attestation);

// Whether this VM attests an incarnation: the applied list names both of them.
bool attestsMembership(const MembershipLease &lease, std::string_view vm, uint64_t incarnation);

// Returns when the lease expires; Instant{} if the VM has no lease. Deterministic.
Instant leaseExpiry(const MembershipLease &lease);

bool isLeaseValid(const MembershipLease &lease, Instant now);

// Returns how often this VM reads the store: often while it joins, while it is the partition's
// store poller, or when its proof is about to expire; rarely otherwise.
Duration storePollInterval(const MembershipLease &lease, bool isStorePoller, Instant now);

// Whether, as far as this VM knows, a majority of the applied list has applied a configuration
// revision. `membersRevision` is the revision of the list at the time the configuration was stored;
// with an older applied list the result is false.
bool isConfigurationAccepted(const MembershipLease &lease, uint64_t configuration,
                             uint64_t membersRevision);

// Whether a majority of a list has applied it. `reported` holds the newest reply of each VM. A list
// whose predecessor had fewer than two VMs needs no majority: under that predecessor only the store
// could prove membership, and a store read returns the new list at once.
bool isListAccepted(const VmDirectory &list,
                    const std::map<std::string, Attestation, std::less<>> &reported);

// Whether the applied list is accepted, as far as this VM knows.
bool isAppliedListAccepted(const MembershipLease &lease);

// Returns the listed VMs that haven't reported a configuration revision as applied.
std::vector<std::string> laggingVms(const MembershipLease &lease, uint64_t configuration);

} // namespace gentianplank
