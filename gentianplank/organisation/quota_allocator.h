// The lender of one organisation's rate and burst: its home VM, or the deputy that renews slices
// while the home does not answer.
//
// The home may lend what is free only while it knows every live slice. It knows them all when it
// took the role over from the home before, when it founded the fleet, or once AllocationQuarantine
// has passed since it learnt that it is home. Until then it only renews. A slice that it believes
// ended may have been renewed by the deputy, so it asks the deputy before it lends that part again.
//
//     QuotaAllocator lender = makeQuotaAllocator({50, 20}, RateOwnerRole::Home, now);
//     SliceReply reply = onRequest(lender, request, now);       // only with standing
//     if (needsLookup(lender, now)) { onLookup(lender, askDeputy(), now); }
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
    // The second choice after the home.
    Backup,
};

// What the lender counts for one borrower.
struct LentSlice
{
    uint64_t sequence = 0;
    double reportedPerSecond = 0;
    double reportedBurst = 0;
    double reportedTokens = 0;
    double grantedPerSecond = 0;
    double grantedBurst = 0;
    // Tokens of the newest grant, until the borrower reports whether it arrived.
    double pendingTokens = 0;
    // What the borrower had given up by its newest request; unknown when another lender took it.
    std::optional<double> returnedTokens;
    double demandPerSecond = 0;
    // When the newest reply left, and until when the borrower certainly makes no tokens.
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
    // Whether another VM may renew slices as deputy.
    bool hasBackup = false;
    // Every live slice is known.
    bool open = false;
    // When an earlier home's slices have ended, and when an earlier deputy's have.
    Instant opensAt{};
    Instant settlesAt{};
    double tokens = 0;
    Instant filledAt{};
    std::map<VmIncarnation, LentSlice> slices;
};

// Returns a lender that knows no slice. As a home it opens after the quarantine.
QuotaAllocator makeQuotaAllocator(const RateLimit &limit, RateOwnerRole role, bool hasBackup,
                                  Instant now);

// Opens a home at once, for an organisation of which nobody has held a slice since `unlentSince`.
void openSince(QuotaAllocator &lender, Instant unlentSince, Instant now);

// Applies a new member list; call handOver() first where the role ends. `wasSure` tells whether
// this VM was sure of the list before within the last SliceDuration; otherwise another home may
// have opened in the meantime.
void onMemberList(QuotaAllocator &lender, RateOwnerRole role, bool hasBackup, bool wasSure,
                  Instant now);

// Starts the quarantine at `now`, or postpones it until the next call where `now` is empty.
void startQuarantine(QuotaAllocator &lender, std::optional<Instant> now);

// Changes the organisation's limit. A smaller one takes effect as borrowers renew.
void setLimit(QuotaAllocator &lender, const RateLimit &limit, Instant now);

// Answers a borrower. Call only while this VM has standing on its member list.
SliceReply onRequest(QuotaAllocator &lender, const SliceRequest &request, Instant now);

// Whether the home should ask the deputy for its records now.
bool needsLookup(const QuotaAllocator &lender, Instant now);

// Returns the live slices that this VM lent or renewed, for a home that asks.
std::vector<SliceRecord> liveSlices(const QuotaAllocator &lender, Instant now);

// Applies the deputy's records, asked for at `askedAt`.
void onLookup(QuotaAllocator &lender, std::span<const SliceRecord> records, Instant askedAt,
              Instant now);

// Ends an open home's role and returns what its successor needs; nothing when it is not open.
// The result must reach at most one VM.
std::optional<AllocatorHandover> handOver(QuotaAllocator &lender, Instant now);

// Opens a home with what the one before handed over. False when it is not a closed home.
bool takeOver(QuotaAllocator &lender, const AllocatorHandover &handover, Instant now);

// Whether nothing is lent and the pool is full, so that the value may be dropped.
bool isIdle(const QuotaAllocator &lender, Instant now);

} // namespace gentianplank
