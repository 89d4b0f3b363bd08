// Messages by which VMs share an organisation's rate and burst, and the times that bound them.
//
// Per organisation, one VM is the primary owner of the rate and allocates quota slices to the other
// VMs (quota clients). A slice is a rate at which the client may generate tokens while the primary
// owner is silent, and a burst that bounds how many tokens it holds. Tokens move with messages and
// are never created twice. All tokens in the fleet together therefore stay within the burst and
// grow no faster than the rate.
//
//     std::optional<SliceRequest> request = nextRequest(client, now);       // at the client
//     SliceReply reply = onRequest(allocator, *request, now);               // at the primary owner
//     onReply(client, reply, now);                                          // at the client
#pragma once

#include "gentianplank/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gentianplank {

// Lifetime of a slice. The client counts it from before it sent the request.
inline constexpr Duration SliceDuration = std::chrono::milliseconds(1500);

// How long an allocator may still act on a member list after a majority applied the next one.
inline constexpr Duration MaxStaleAllocation = std::chrono::milliseconds(2550);

// How long a client leaves the generation of its slice's tokens to the primary owner after a reply,
// so that the tokens for all VMs come from one pool. If the primary owner falls silent, the client
// generates them itself after this time.
inline constexpr Duration DelegationDuration = std::chrono::milliseconds(600);

// Upper bound of the relative drift between the clocks of two VMs.
inline constexpr double MaxClockDrift = 2e-4;

// Safety margin, added wherever one VM waits until another one must have stopped acting.
inline constexpr Duration DriftMargin = std::chrono::milliseconds(5);

// Once this time has passed since a majority applied a member list, no slice from an earlier
// allocator is live, unless it was renewed in the meantime.
inline constexpr Duration AllocationQuarantine = SliceDuration + MaxStaleAllocation + DriftMargin;

// Identifies one run of a VM's process in the member list.
struct VmIncarnation
{
    std::string vm;
    uint64_t incarnation = 0;

    auto operator<=>(const VmIncarnation &) const = default;
};

// A client's report of what it holds and needs. Only its newest request may be answered.
struct SliceRequest
{
    VmIncarnation client;
    uint64_t sequence = 0;
    // Sequence of the reply that granted the held slice.
    uint64_t appliedSequence = 0;
    double heldPerSecond = 0;
    double heldBurst = 0;
    double heldTokens = 0;
    // Total of the tokens that this incarnation has returned because a slice shrank.
    double returnedTokens = 0;
    // Recent arrival rate, in statements per second.
    double demandPerSecond = 0;
    // Number of statements that wait for a token now.
    double requestedTokens = 0;
    // Set when the client shuts down. It holds nothing after this request.
    bool release = false;
};

enum class SliceVerdict {
    // The receiver neither allocates nor renews slices of this organisation.
    NotOwner,
    // The held slice was renewed unchanged, by the backup owner or by a primary owner that does not
    // know all live slices yet.
    Renewed,
    // The primary owner allocated the slice.
    Allocated,
};

struct SliceReply
{
    uint64_t sequence = 0;
    SliceVerdict verdict = SliceVerdict::NotOwner;
    double perSecond = 0;
    double burst = 0;
    // Tokens transferred to the client with this reply.
    double tokens = 0;
    // If set, the client must not generate tokens for DelegationDuration after it receives the
    // reply.
    bool delegated = false;
    // The organisation exceeds its rate and burst, counted over all VMs.
    bool exhausted = false;
};

// An owner's record of one live slice. `remaining` counts from when the record was sent.
struct SliceRecord
{
    VmIncarnation client;
    uint64_t sequence = 0;
    double perSecond = 0;
    double burst = 0;
    double demandPerSecond = 0;
    Duration remaining{0};
};

// State that a primary owner passes to its successor, at most once.
struct AllocatorHandover
{
    std::string organisation;
    // Revision of the member list that makes the receiver the primary owner. The receiver must be
    // on the same revision.
    uint64_t listRevision = 0;
    double tokens = 0;
    std::vector<SliceRecord> slices;
};

} // namespace gentianplank
