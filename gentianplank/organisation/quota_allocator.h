// Allocates one organisation's rate and burst to quota clients, at the primary owner, or renews
// slices at the backup owner while the primary owner does not reply.
//
// The primary owner may allocate free quota only while it knows every live slice. That is the case
// after it took over from the previous primary owner, after it founded the fleet, or once
// AllocationQuarantine has passed since it learnt of its role. Until then it only renews slices. A
// slice that looks ended may have been renewed by the backup owner, so the primary owner looks it
// up there before it allocates the same quota again.
//
//     QuotaAllocator allocator = makeQuotaAllocator({50, 20}, RateOwnerRole::Primary, true, now);
//     SliceReply reply = onRequest(allocator, request, now);       // only with a membership lease
//     if (needsLookup(allocator, now)) { onLookup(allocator, recordsOfBackup(), sentAt, now); }
#pragma once

#include "gentianplank/configuration/view.h"
#include "gentianplank/organisation/quota_slice.h"

#include <map>
#include <optional>
#include <span>

namespace gentianplank {

enum class RateOwnerRole {
    None,
    Primary,
    // Renews slices while the primary owner does not reply.
    Backup,
};

// The allocator's account of one client's slice.
struct AllocatedSlice
{
    uint64_t sequence = 0;
    double reportedPerSecond = 0;
    double reportedBurst = 0;
    double reportedTokens = 0;
    double grantedPerSecond = 0;
    double grantedBurst = 0;
    // Tokens of the newest grant, until the client reports whether it received them.
    double unconfirmedTokens = 0;
    // Total of returned tokens in the client's newest request. Unknown if another allocator
    // received that request.
    std::optional<double> returnedTokens;
    double demandPerSecond = 0;
    // When the newest reply was sent, and until when the client certainly generates no tokens.
    Instant repliedAt{};
    bool delegated = false;
    Instant delegatedUntil{};
    Instant until{};
};

// A plain value. All functions are deterministic; `now` is the VM's own clock.
struct QuotaAllocator
{
    RateLimit limit;
    RateOwnerRole role = RateOwnerRole::None;
    // Whether another VM may renew slices as backup owner.
    bool hasBackup = false;
    // Every live slice is known, so free quota may be allocated.
    bool open = false;
    // When all slices of earlier primary owners and of earlier backup owners have ended.
    Instant primarySlicesEndAt{};
    Instant backupSlicesEndAt{};
    double tokens = 0;
    Instant filledAt{};
    std::map<VmIncarnation, AllocatedSlice> slices;
};

// Returns an allocator that knows no slice. A primary owner opens after the quarantine.
QuotaAllocator makeQuotaAllocator(const RateLimit &limit, RateOwnerRole role, bool hasBackup,
                                  Instant now);

// Opens a primary owner at once, for an organisation that has had no live slice since
// `unallocatedSince`.
void openWithoutQuarantine(QuotaAllocator &allocator, Instant unallocatedSince, Instant now);

// Applies a new member list. Call handOver() first if the role ends. `leaseWasContinuous` tells
// whether this VM held its lease on the previous list within the last SliceDuration; if not,
// another primary owner may have opened in the meantime.
void onMemberList(QuotaAllocator &allocator, RateOwnerRole role, bool hasBackup,
                  bool leaseWasContinuous, Instant now);

// Starts the quarantine at `now`. Without a time, postpones it until the next call.
void startQuarantine(QuotaAllocator &allocator, std::optional<Instant> now);

// Changes the organisation's limit. A lower limit takes effect as clients renew.
void setLimit(QuotaAllocator &allocator, const RateLimit &limit, Instant now);

// Answers a quota client. Call only while this VM holds its lease on the current member list.
SliceReply onRequest(QuotaAllocator &allocator, const SliceRequest &request, Instant now);

// Whether the primary owner should ask the backup owner for its slice records now.
bool needsLookup(const QuotaAllocator &allocator, Instant now);

// Returns the live slices that this VM allocated or renewed, for a lookup by the primary owner.
std::vector<SliceRecord> liveSlices(const QuotaAllocator &allocator, Instant now);

// Applies the backup owner's records, which were requested at `requestedAt`.
void onLookup(QuotaAllocator &allocator, std::span<const SliceRecord> records, Instant requestedAt,
              Instant now);

// Ends the role of an open primary owner and returns the state for its successor. Returns nothing
// if the allocator is not open. The result must reach at most one VM.
std::optional<AllocatorHandover> handOver(QuotaAllocator &allocator, Instant now);

// Opens a primary owner with the state of its predecessor. Returns false if the allocator is not a
// primary owner or is already open.
bool takeOver(QuotaAllocator &allocator, const AllocatorHandover &handover, Instant now);

// Whether nothing is allocated and the pool is full, so that the value may be dropped.
bool isIdle(const QuotaAllocator &allocator, Instant now);

} // namespace gentianplank
