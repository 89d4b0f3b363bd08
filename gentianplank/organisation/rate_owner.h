// The roles of one VM as primary or backup owner of organisations' rates. The roles follow from the
// committed member list.
//
//     RateOwner owner = makeRateOwner({"vm-1", 1});
//     setMembers(owner, members, now);               // each new list, in order
//     setLimits(owner, limits, now);
//     recordLease(owner, now);                       // while this VM holds its membership lease
//     SliceReply reply = onRequest(owner, "dredge-co", request, now);
//     for (PendingHandover &it : dueHandovers(owner)) { send(it.to, it.handover) }
//
// All functions are deterministic and not thread-safe.
#pragma once

#include "gentianplank/organisation/quota_allocator.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// The VMs of the committed member list that are not leaving. Reachability is left out on purpose:
// VMs disagree about it, and two primary owners would allocate the same tokens.
struct RateMembers
{
    uint64_t revision = 0;
    std::vector<std::string> vms;
    // Set if this VM wrote the first member list, so that no slice existed before. A time before
    // that write.
    std::optional<Instant> foundedAt;
};

// The owners of an organisation's rate. Names are empty if there are too few VMs.
struct RateOwnerNames
{
    std::string primary;
    std::string backup;
};

RateOwnerNames rateOwnersOf(const RateMembers &members, std::string_view organisation);

// A role that ended at this VM and that the next primary owner has not confirmed yet.
struct PendingHandover
{
    AllocatorHandover handover;
    std::string to;
    bool requestPending = false;
    // A reply was lost, so the receiver may have accepted the handover.
    bool mayBeAccepted = false;
};

enum class HandoverOutcome {
    Accepted,
    Refused,
    Unanswered,
};

// A plain value.
struct RateOwner
{
    VmIncarnation self;
    RateMembers members;
    // When this VM learnt that a majority had applied the list. Older lists lapse after that.
    std::optional<Instant> listAcceptedAt;
    // Last time at which this VM held its membership lease.
    Instant leaseHeldAt{};
    // When this VM founded the fleet, provided that it has held its lease continuously over all
    // lists since. Until the quarantines of other primary owners end, only this VM may hand over
    // organisations for which it has no allocator yet.
    std::optional<Instant> foundedAt;
    std::map<std::string, RateLimit, std::less<>> limits;
    std::map<std::string, QuotaAllocator, std::less<>> allocators;
    std::map<std::string, PendingHandover, std::less<>> handovers;
};

RateOwner makeRateOwner(const VmIncarnation &self);

// Applies the roles of a new member list. Roles that end leave a handover. Ignores older lists.
void setMembers(RateOwner &owner, const RateMembers &members, Instant now);

// Records that a majority has applied the list with this revision. Quarantines start here.
void recordListAccepted(RateOwner &owner, uint64_t revision, Instant now);

// Applies the organisations' limits. An organisation that is not in the map has no quota.
void setLimits(RateOwner &owner, const std::map<std::string, RateLimit, std::less<>> &limits,
               Instant now);

// Records that this VM holds its membership lease now.
void recordLease(RateOwner &owner, Instant now);

// Answers a quota client. Call only while this VM holds its membership lease.
SliceReply onRequest(RateOwner &owner, std::string_view organisation, const SliceRequest &request,
                     Instant now);

// Returns the organisations whose backup owners must be asked for their slice records now.
std::vector<std::string> dueLookups(const RateOwner &owner, Instant now);

// Returns the slices that this VM renewed as backup owner, for the primary owner's lookup.
std::vector<SliceRecord> liveSlices(const RateOwner &owner, std::string_view organisation,
                                    Instant now);

void onLookup(RateOwner &owner, std::string_view organisation, std::span<const SliceRecord> records,
              Instant requestedAt, Instant now);

// Returns the handovers to send now. Each requires exactly one onHandoverAnswer().
std::vector<PendingHandover> dueHandovers(RateOwner &owner);

void onHandoverAnswer(RateOwner &owner, std::string_view organisation, HandoverOutcome outcome);

// Accepts a handover for the same member list. Call only while this VM holds its membership lease.
bool onHandover(RateOwner &owner, const AllocatorHandover &handover, Instant now);

} // namespace gentianplank
