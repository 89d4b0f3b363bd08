#include "gentianplank/organisation/quota_allocator.h"

#include <algorithm>
#include <cmath>

namespace gentianplank {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
// The part of the rate that is lent by demand; a borrower makes it while the home is silent.
constexpr double LentRate = 0.95;
// Nobody gets more than this many times its demand.
constexpr double LargestSurplus = 3.0;
// Above this part of the burst, borrowers' buckets are filled in advance.
constexpr double PlentyOfTokens = 0.2;
// Demand this much above the rate is no noise of its measure.
constexpr double CertainOverload = 1.05;
// The part of the burst that goes to borrowers by their demand; the rest answers top-ups.
constexpr double LentBurst = 0.25;
// Below this demand a VM gets single tokens only.
constexpr double NegligibleRate = 0.05;
// The part of the burst that stays in the pool for borrowers whose statements wait.
constexpr double ReservedBurst = 0.4;
// A bucket that holds less than one token admits nothing.
constexpr double SmallestBurst = 1.0;

double chargedRate(const LentSlice &slice)
{
    return std::max(slice.reportedPerSecond, slice.grantedPerSecond);
}

double chargedBurst(const LentSlice &slice)
{
    return std::max(slice.reportedBurst, slice.grantedBurst);
}

struct Totals
{
    double perSecond = 0;
    double burst = 0;
    double wanted = 0;
};

Totals totalsOf(const QuotaAllocator &lender)
{
    Totals totals;
    for (const auto &[holder, slice] : lender.slices) {
        totals.perSecond += chargedRate(slice);
        totals.burst += chargedBurst(slice);
        totals.wanted += slice.demandPerSecond;
    }
    return totals;
}

double secondsOf(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerSecond;
}

// Makes the tokens that no borrower can be making. Must run before any change of the slices.
void fill(QuotaAllocator &lender, Instant now)
{
    if (!lender.open) {
        lender.tokens = 0;
    } else if (now > lender.filledAt) {
        double made = secondsOf(now - lender.filledAt) * lender.limit.perSecond;
        for (const auto &[holder, slice] : lender.slices) {
            const Instant from = std::max(lender.filledAt, slice.delegatedUntil);
            made -= secondsOf(std::max(Duration::zero(), now - from)) * chargedRate(slice);
        }
        const double room = std::max(0.0, lender.limit.burst - totalsOf(lender).burst);
        lender.tokens =
            std::min(room, lender.tokens + std::max(0.0, made) * (1 - LargestClockDrift));
    }
    lender.filledAt = std::max(lender.filledAt, now);
}

void capTokens(QuotaAllocator &lender)
{
    const double room = std::max(0.0, lender.limit.burst - totalsOf(lender).burst);
    lender.tokens = std::min(lender.tokens, room);
}

Instant lenderEnd(Duration lasts, Instant now)
{
    const auto drift =
        static_cast<Duration::rep>(static_cast<double>(lasts.count()) * 2 * LargestClockDrift);
    return now + lasts + Duration(drift) + DriftMargin;
}

// Removes ended slices that no deputy can have renewed.
void dropEnded(QuotaAllocator &lender, Instant now)
{
    const bool certain =
        lender.role != RateOwnerRole::Primary || (now >= lender.settlesAt && !lender.hasBackup);
    if (!certain) {
        return;
    }
    fill(lender, now);
    std::erase_if(lender.slices, [&](const auto &it) { return now >= it.second.until; });
}

void maybeOpen(QuotaAllocator &lender, Instant now)
{
    if (lender.role == RateOwnerRole::Primary && !lender.open && !lender.hasBackup &&
        now >= lender.opensAt) {
        fill(lender, now);
        lender.open = true;
    }
}

// Takes in a borrower's report: what it holds, gave up and did not receive.
LentSlice &record(QuotaAllocator &lender, const SliceRequest &request)
{
    const auto [it, isNew] = lender.slices.try_emplace(request.borrower);
    LentSlice &slice = it->second;
    if (!isNew) {
        const double before = slice.returnedTokens.value_or(request.returnedTokens);
        lender.tokens += std::max(0.0, request.returnedTokens - before);
        if (request.appliedSequence < slice.sequence) {
            lender.tokens += slice.pendingTokens;
        }
    }
    if (slice.delegated && request.appliedSequence == slice.sequence) {
        slice.delegatedUntil = slice.repliedAt + DelegationDuration;
    }
    slice.pendingTokens = 0;
    slice.returnedTokens = request.returnedTokens;
    slice.sequence = request.sequence;
    slice.reportedPerSecond = request.heldPerSecond;
    slice.reportedBurst = request.heldBurst;
    slice.reportedTokens = request.heldTokens;
    slice.grantedPerSecond = 0;
    slice.grantedBurst = 0;
    slice.demandPerSecond = request.demandPerSecond;
    return slice;
}

SliceReply renew(const QuotaAllocator &lender, const SliceRequest &request)
{
    SliceReply reply;
    reply.sequence = request.sequence;
    reply.verdict = SliceVerdict::Renewed;
    reply.perSecond = std::min(request.heldPerSecond, lender.limit.perSecond);
    reply.burst = std::min(request.heldBurst, lender.limit.burst);
    return reply;
}

double wantedRate(const QuotaAllocator &lender, double wanted, double allWanted)
{
    if (wanted < NegligibleRate || lender.limit.perSecond <= 0) {
        return 0;
    }
    const double part = LentRate * lender.limit.perSecond * wanted / allWanted;
    return std::min(part, LargestSurplus * wanted);
}

// The tokens to move: what waits, in whole statements, and a full bucket while there are plenty.
double tokensFor(const QuotaAllocator &lender, const SliceRequest &request, double burst)
{
    const double room = std::max(0.0, burst - request.heldTokens);
    if (lender.tokens >= PlentyOfTokens * lender.limit.burst && lender.tokens >= 1) {
        return std::min(room, lender.tokens);
    }
    const double wanted = std::max(request.requestedTokens, request.heldTokens);
    const double reachable = std::min({wanted, request.heldTokens + lender.tokens, burst});
    return std::max(0.0, std::floor(reachable) - request.heldTokens);
}

// The bucket that a borrower gets: by its demand while the pool keeps its reserve, and room for
// what waits in any case. A bucket below one token would only strand a part.
double burstFor(const QuotaAllocator &lender, const SliceRequest &request, double allWanted,
                double freeBurst)
{
    double burst = 0;
    if (request.demandPerSecond >= NegligibleRate) {
        const double lent = LentBurst * lender.limit.burst;
        const bool enoughForAll = static_cast<double>(lender.slices.size()) <= lent;
        burst =
            std::max(enoughForAll ? SmallestBurst : 0, lent * request.demandPerSecond / allWanted);
        burst = std::min(burst, freeBurst - ReservedBurst * lender.limit.burst);
    }
    burst = std::max(burst, std::min(request.requestedTokens, freeBurst));
    return burst < 1 ? 0 : burst;
}

SliceReply lend(QuotaAllocator &lender, const SliceRequest &request, LentSlice &slice)
{
    const Totals all = totalsOf(lender);
    const double freeRate = lender.limit.perSecond - (all.perSecond - chargedRate(slice));
    const double freeBurst = lender.limit.burst - (all.burst - chargedBurst(slice));
    SliceReply reply;
    reply.sequence = request.sequence;
    reply.verdict = SliceVerdict::Allocated;
    reply.perSecond = std::clamp(wantedRate(lender, slice.demandPerSecond, all.wanted), 0.0,
                                 std::max(0.0, freeRate));
    reply.burst = burstFor(lender, request, all.wanted, freeBurst);
    reply.tokens = tokensFor(lender, request, reply.burst);
    reply.delegated = true;
    lender.tokens -= reply.tokens;
    reply.exhausted = lender.tokens < 1 && all.wanted > CertainOverload * lender.limit.perSecond;
    return reply;
}

} // namespace

QuotaAllocator makeQuotaAllocator(const RateLimit &limit, RateOwnerRole role, bool hasBackup,
                                  Instant now)
{
    QuotaAllocator lender;
    lender.limit = limit;
    lender.role = role;
    lender.hasBackup = hasBackup;
    lender.opensAt = now + AllocationQuarantine;
    lender.settlesAt = lender.opensAt;
    lender.filledAt = now;
    return lender;
}

void openSince(QuotaAllocator &lender, Instant unlentSince, Instant now)
{
    lender.open = lender.role == RateOwnerRole::Primary;
    lender.opensAt = unlentSince;
    lender.settlesAt = unlentSince;
    lender.filledAt = unlentSince;
    fill(lender, now);
}

void onMemberList(QuotaAllocator &lender, RateOwnerRole role, bool hasBackup, bool wasSure,
                  Instant now)
{
    fill(lender, now);
    if (role != RateOwnerRole::Primary || lender.role != RateOwnerRole::Primary || !wasSure) {
        lender.open = false;
        lender.tokens = 0;
        lender.opensAt = now + AllocationQuarantine;
    }
    lender.role = role;
    lender.hasBackup = hasBackup;
    lender.settlesAt = now + AllocationQuarantine;
}

void startQuarantine(QuotaAllocator &lender, std::optional<Instant> now)
{
    const Instant end = now ? *now + AllocationQuarantine : Instant::max();
    if (!lender.open) {
        lender.opensAt = end;
    }
    lender.settlesAt = end;
}

void setLimit(QuotaAllocator &lender, const RateLimit &limit, Instant now)
{
    fill(lender, now);
    lender.limit = limit;
    capTokens(lender);
}

SliceReply onRequest(QuotaAllocator &lender, const SliceRequest &request, Instant now)
{
    SliceReply refused;
    refused.sequence = request.sequence;
    if (lender.role == RateOwnerRole::None) {
        return refused;
    }
    fill(lender, now);
    dropEnded(lender, now);
    maybeOpen(lender, now);
    const auto known = lender.slices.find(request.borrower);
    if (known != lender.slices.end() && request.sequence <= known->second.sequence) {
        return refused;
    }
    LentSlice &slice = record(lender, request);
    capTokens(lender);
    if (request.release) {
        lender.slices.erase(request.borrower);
        return refused;
    }
    const SliceReply reply = lender.open ? lend(lender, request, slice) : renew(lender, request);
    slice.grantedPerSecond = reply.perSecond;
    slice.grantedBurst = reply.burst;
    slice.pendingTokens = reply.tokens;
    slice.repliedAt = now;
    slice.delegated = reply.delegated;
    slice.until = lenderEnd(SliceDuration, now);
    capTokens(lender);
    return reply;
}

bool needsLookup(const QuotaAllocator &lender, Instant now)
{
    if (lender.role != RateOwnerRole::Primary || !lender.hasBackup) {
        return false;
    }
    if (!lender.open) {
        return now >= lender.opensAt;
    }
    return now >= lender.settlesAt &&
           std::any_of(lender.slices.begin(), lender.slices.end(),
                       [&](const auto &it) { return now >= it.second.until; });
}

std::vector<SliceRecord> liveSlices(const QuotaAllocator &lender, Instant now)
{
    std::vector<SliceRecord> records;
    for (const auto &[holder, slice] : lender.slices) {
        if (now < slice.until) {
            records.push_back({holder, slice.sequence, chargedRate(slice), chargedBurst(slice),
                               slice.demandPerSecond, slice.until - now});
        }
    }
    return records;
}

void onLookup(QuotaAllocator &lender, std::span<const SliceRecord> records, Instant askedAt,
              Instant now)
{
    if (lender.role != RateOwnerRole::Primary || askedAt < lender.settlesAt) {
        return;
    }
    fill(lender, now);
    for (const SliceRecord &it : records) {
        const auto [entry, isNew] = lender.slices.try_emplace(it.borrower);
        LentSlice &slice = entry->second;
        if (isNew || it.sequence > slice.sequence) {
            slice.sequence = it.sequence;
            slice.pendingTokens = 0;
            slice.returnedTokens.reset();
            slice.reportedPerSecond = std::max(slice.reportedPerSecond, it.perSecond);
            slice.reportedBurst = std::max(slice.reportedBurst, it.burst);
            slice.demandPerSecond = it.demandPerSecond;
        }
        slice.until = std::max(slice.until, lenderEnd(it.remaining, now));
    }
    std::erase_if(lender.slices, [&](const auto &it) { return askedAt >= it.second.until; });
    if (!lender.open && askedAt >= lender.opensAt) {
        lender.open = true;
    }
    capTokens(lender);
}

std::optional<AllocatorHandover> handOver(QuotaAllocator &lender, Instant now)
{
    if (!lender.open) {
        return std::nullopt;
    }
    fill(lender, now);
    AllocatorHandover handover;
    handover.tokens = lender.tokens;
    for (const auto &[holder, slice] : lender.slices) {
        handover.slices.push_back({holder, slice.sequence, chargedRate(slice), chargedBurst(slice),
                                   slice.demandPerSecond,
                                   std::max(Duration::zero(), slice.until - now)});
    }
    lender.open = false;
    lender.tokens = 0;
    lender.opensAt = now + AllocationQuarantine;
    return handover;
}

bool takeOver(QuotaAllocator &lender, const AllocatorHandover &handover, Instant now)
{
    if (lender.role != RateOwnerRole::Primary || lender.open) {
        return false;
    }
    for (const SliceRecord &it : handover.slices) {
        LentSlice &slice = lender.slices[it.borrower];
        slice.sequence = std::max(slice.sequence, it.sequence);
        slice.returnedTokens.reset();
        slice.reportedPerSecond = std::max(slice.reportedPerSecond, it.perSecond);
        slice.reportedBurst = std::max(slice.reportedBurst, it.burst);
        slice.demandPerSecond = std::max(slice.demandPerSecond, it.demandPerSecond);
        slice.until = std::max(slice.until, lenderEnd(it.remaining, now));
    }
    lender.open = true;
    lender.tokens = handover.tokens;
    lender.filledAt = now;
    capTokens(lender);
    return true;
}

bool isIdle(const QuotaAllocator &lender, Instant now)
{
    QuotaAllocator filled = lender;
    fill(filled, now);
    return filled.slices.empty() && filled.open && now >= filled.settlesAt &&
           filled.tokens >= filled.limit.burst;
}

} // namespace gentianplank
