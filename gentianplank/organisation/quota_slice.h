// The messages by which VMs share an organisation's rate and burst, and the times that bound them.
//
// One VM, the organisation's home, lends slices. A slice is a rate at which the borrower may make
// tokens while the home is silent, and a burst that bounds how many it keeps. Tokens move with
// messages and are never made twice, so that all tokens together stay within the burst and grow no
// faster than the rate.
//
//     std::optional<SliceRequest> request = nextRequest(borrower, now);     // at the borrower
//     SliceReply reply = onRequest(lender, *request, now);                  // at the home
//     onReply(borrower, reply, now);                                        // at the borrower
#pragma once

#include "gentianplank/base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gentianplank {

// How long a slice lasts, counted at the borrower from before it asked.
inline constexpr Duration SliceDuration = std::chrono::milliseconds(1500);

// How long a lender may act on a member list after a majority applied the next one.
inline constexpr Duration MaxStaleAllocation = std::chrono::milliseconds(2550);

// How long a borrower leaves the making of its slice's tokens to a home that answered: what all
// VMs need then comes from one pool. When the home falls silent, the borrower makes them itself.
inline constexpr Duration DelegationDuration = std::chrono::milliseconds(600);

// The clocks of two VMs gain on each other at most this much of the time passed.
inline constexpr double LargestClockDrift = 2e-4;

// Added wherever one VM waits out what another one may still do.
inline constexpr Duration DriftMargin = std::chrono::milliseconds(5);

// So long after a majority applied a member list, nobody holds a slice that an earlier lender gave
// and that was not renewed since.
inline constexpr Duration AllocationQuarantine = SliceDuration + MaxStaleAllocation + DriftMargin;

// One life of a VM.
struct VmIncarnation
{
    std::string vm;
    uint64_t incarnation = 0;

    auto operator<=>(const VmIncarnation &) const = default;
};

// A borrower's report and wish. Its newest request alone may be answered.
struct SliceRequest
{
    VmIncarnation borrower;
    uint64_t sequence = 0;
    // The sequence of the reply that the held slice comes from.
    uint64_t appliedSequence = 0;
    double heldPerSecond = 0;
    double heldBurst = 0;
    double heldTokens = 0;
    // All tokens that this incarnation ever gave up when a slice shrank.
    double returnedTokens = 0;
    // Statements a second that arrived lately.
    double demandPerSecond = 0;
    // Statements that wait for a token now.
    double requestedTokens = 0;
    // The borrower shuts down and holds nothing after this request.
    bool release = false;
};

enum class SliceVerdict {
    // The receiver neither lends nor renews for this organisation.
    NotOwner,
    // The deputy, or a home that does not know all slices yet, renewed what was held.
    Renewed,
    // The home decided.
    Allocated,
};

struct SliceReply
{
    uint64_t sequence = 0;
    SliceVerdict verdict = SliceVerdict::NotOwner;
    double perSecond = 0;
    double burst = 0;
    // Tokens that move to the borrower with this reply.
    double tokens = 0;
    // The borrower must not make tokens for DelegationDuration from when it receives this.
    bool delegated = false;
    // The organisation is above its rate and burst, counted over all VMs.
    bool exhausted = false;
};

// What a keeper knows of one live slice; `remaining` counts from when this was sent.
struct SliceRecord
{
    VmIncarnation borrower;
    uint64_t sequence = 0;
    double perSecond = 0;
    double burst = 0;
    double demandPerSecond = 0;
    Duration remaining{0};
};

// The home role of an organisation, given by a home to the next one at most once.
struct AllocatorHandover
{
    std::string organisation;
    // The member list that names the receiver as home; the receiver must have this one.
    uint64_t listRevision = 0;
    double tokens = 0;
    std::vector<SliceRecord> slices;
};

} // namespace gentianplank
