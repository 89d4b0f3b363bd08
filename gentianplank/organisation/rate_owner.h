// What one VM lends: its roles as home and deputy of organisations, by the committed member list.
//
//     RateOwner keeper = makeRateOwner({"vm-1", 1});
//     setMembers(keeper, members, now);           // each new list, in order
//     setLimits(keeper, limits, now);
//     recordLease(keeper, now);                      // while this VM has standing on its list
//     SliceReply reply = onRequest(keeper, "dredge-co", request, now);
//     for (PendingHandover &it : dueHandovers(keeper)) { send(it.to, it.handover) }
//
// All functions are deterministic and for one thread.
#pragma once

#include "gentianplank/organisation/quota_allocator.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// The staying VMs of the committed member list. Whether one is reachable doesn't matter here:
// reachability differs between VMs, and two homes would lend the same tokens.
struct RateMembers
{
    uint64_t revision = 0;
    std::vector<std::string> vms;
    // Set when this VM wrote the first member list, so that nobody held a slice before; from before
    // that write.
    std::optional<Instant> foundedAt;
};

// An organisation's keepers; empty names where there are too few VMs.
struct RateOwnerNames
{
    std::string primary;
    std::string backup;
};

RateOwnerNames rateOwnersOf(const RateMembers &members, std::string_view organisation);

// A role that ended here and that the next home has not confirmed yet.
struct PendingHandover
{
    AllocatorHandover handover;
    std::string to;
    bool sending = false;
    // An answer was lost, so that the receiver may have accepted.
    bool uncertain = false;
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
    // When this VM learnt that a majority had applied the list, so that older ones lapse.
    std::optional<Instant> listAcceptedAt;
    // When this VM last had standing on the list before.
    Instant leaseHeldAt{};
    // When this VM founded the list, if it has been sure of each list since. Until other homes'
    // quarantines end, it alone may give away organisations that it has not met yet.
    std::optional<Instant> foundedAt;
    std::map<std::string, RateLimit, std::less<>> limits;
    std::map<std::string, QuotaAllocator, std::less<>> lenders;
    std::map<std::string, PendingHandover, std::less<>> handovers;
};

RateOwner makeRateOwner(const VmIncarnation &self);

// Takes the roles of a new member list. The roles that end leave a handover.
void setMembers(RateOwner &keeper, const RateMembers &members, Instant now);

// Records that a majority has applied the list of this revision. Quarantines count from here.
void recordListAccepted(RateOwner &keeper, uint64_t revision, Instant now);

// Applies the organisations' limits; an organisation that is missing has none.
void setLimits(RateOwner &keeper, const std::map<std::string, RateLimit, std::less<>> &limits,
               Instant now);

// Records that this VM has standing now.
void recordLease(RateOwner &keeper, Instant now);

// Answers a borrower. Call only while this VM has standing.
SliceReply onRequest(RateOwner &keeper, std::string_view organisation, const SliceRequest &request,
                     Instant now);

// Returns the organisations whose deputies are to be asked for their records now.
std::vector<std::string> dueLookups(const RateOwner &keeper, Instant now);

// Answers a home's lookup with what this VM renewed as deputy.
std::vector<SliceRecord> liveSlices(const RateOwner &keeper, std::string_view organisation,
                                    Instant now);

void onLookup(RateOwner &keeper, std::string_view organisation,
              std::span<const SliceRecord> records, Instant askedAt, Instant now);

// Returns the handovers to send now. Each needs one onHandoverAnswer().
std::vector<PendingHandover> dueHandovers(RateOwner &keeper);

void onHandoverAnswer(RateOwner &keeper, std::string_view organisation, HandoverOutcome outcome);

// Accepts a handover for the same member list. Call only while this VM has standing.
bool onHandover(RateOwner &keeper, const AllocatorHandover &handover, Instant now);

} // namespace gentianplank
