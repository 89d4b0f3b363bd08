// Standing: whether this VM may use what the fleet shares (keys, rate slices, roles).
//
// A VM has standing for MembershipLeaseDuration after it last proved that it isn't expelled: by
// reading the store, or by vouchers from a majority of its cell. Times count from before the
// question was sent. A proof counts only when the VM has applied every revision that its answers
// showed.
//
// A revision is accepted when it is stored and a majority of the list has applied it (witnessed
// it). Every proof asked for later shows it, since majorities intersect; so EnforcedAfterAcceptance
// after acceptance, no VM with standing acts on an older revision. Three rules keep majorities
// intersecting while lists change: a list changes by one VM at a time; the next list is stored only
// after the present one is accepted; and a list is applied only after the configuration that was
// stored before it.
//
//     Standing standing = makeMembershipLease("vm-1", 7);
//     applyMembers(standing, list);
//     recordStoreProof(standing, askedAt, {head, list.revision});
//     if (!isLeaseValid(standing, now)) { return refuse(Reason::NoMembershipLease, ...); }
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

// How long one proof lasts.
inline constexpr Duration MembershipLeaseDuration = std::chrono::milliseconds(2500);

// What the clocks of two VMs may differ by over MembershipLeaseDuration.
inline constexpr Duration ClockDrift = std::chrono::milliseconds(50);

// After this time since acceptance every VM has applied a revision or lost its standing.
inline constexpr Duration EnforcedAfterAcceptance = MembershipLeaseDuration + ClockDrift;

// The newest revisions that a VM has applied, or that the store holds.
struct Revisions
{
    uint64_t configuration = 0;
    uint64_t members = 0;
};

// Whether `applied` has everything of `reported`.
bool covers(const Revisions &applied, const Revisions &reported);

// A peer's latest answer.
struct Attestation
{
    uint64_t incarnation = 0;
    // From before the question was sent.
    Instant askedAt{};
    Revisions reported;
    bool isAttested = false;
};

struct StoreProof
{
    Instant askedAt{};
    Revisions reported;
};

enum class ProofKind {
    None,
    Store,
    Majority,
};

// What is known of this VM's standing. A plain value of the control thread.
struct MembershipLease
{
    std::string vm;
    // 0 until the VM has written itself into the list.
    uint64_t incarnation = 0;
    // The VM applied a list that names it.
    bool joined = false;
    // The VM applied a later list that doesn't. Final for this incarnation.
    bool expelled = false;
    // The revision of the configuration that the VM has applied.
    uint64_t configuration = 0;
    // The list that the VM has applied.
    VmDirectory members;
    // A newer list that waits for its configuration.
    std::optional<VmDirectory> pending;
    std::optional<StoreProof> storeProof;
    std::map<std::string, Attestation, std::less<>> attestations;
    // The latest proof, by the time when it was asked for.
    Instant provenAt{};
    ProofKind provenBy = ProofKind::None;
};

MembershipLease makeMembershipLease(std::string_view vm, uint64_t incarnation);

// Gives the VM its number, after the list that names it was stored. The number is above the
// revision of every earlier list. No effect for a VM that has one.
void startIncarnation(MembershipLease &standing, uint64_t incarnation);

// What this VM shows to peers and witnesses.
Revisions appliedRevisions(const MembershipLease &standing);

// Records that the configuration was applied up to a revision; an older one changes nothing.
void applyConfiguration(MembershipLease &standing, uint64_t revision);

// Applies a newer list, or keeps it until its configuration is applied.
void applyMembers(MembershipLease &standing, const VmDirectory &list);

// Records what the store showed; `askedAt` is from before the question.
void recordStoreProof(MembershipLease &standing, Instant askedAt, const Revisions &reported);

// Records a peer's answer; an answer to an earlier question than the latest changes nothing.
void recordAttestation(MembershipLease &standing, std::string_view peer,
                       const Attestation &attestation);

// Whether this VM vouches for an incarnation: both are listed in the applied list.
bool attestsMembership(const MembershipLease &standing, std::string_view vm, uint64_t incarnation);

// Returns until when the VM has standing; the epoch when it has none. Deterministic.
Instant leaseExpiry(const MembershipLease &standing);

bool isLeaseValid(const MembershipLease &standing, Instant now);

// How often this VM reads the store: often while it joins, as the one that polls for its cell, or
// while its proof grows old; seldom otherwise.
Duration storePollInterval(const MembershipLease &standing, bool isStorePoller, Instant now);

// Whether a majority of the applied list has applied a configuration revision, as far as this VM
// knows. `storedWith` is the list's revision in whose presence the revision was stored; an older
// applied list can't tell.
bool isConfigurationAccepted(const MembershipLease &standing, uint64_t configuration,
                             uint64_t storedWith);

// Whether a majority of a list has applied it. `reported` holds each VM's newest answer. A list
// that follows an empty one or a single VM needs no majority: under those only the store proves,
// and it shows the new list at once.
bool isListAccepted(const VmDirectory &list,
                    const std::map<std::string, Attestation, std::less<>> &reported);

// Whether the applied list is accepted, as far as this VM knows.
bool isAppliedListAccepted(const MembershipLease &standing);

// Returns the listed VMs that haven't shown a configuration revision.
std::vector<std::string> laggingVms(const MembershipLease &standing, uint64_t configuration);

} // namespace gentianplank
