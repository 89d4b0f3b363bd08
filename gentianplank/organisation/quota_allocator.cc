#include "gentianplank/organisation/quota_allocator.h"

#include <algorithm>
#include <cmath>

namespace gentianplank {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
// Fraction of the rate that is allocated by demand. Clients generate it while the primary owner is
// silent.
constexpr double AllocatedRateFraction = 0.95;
// Upper bound of a client's rate as a multiple of its demand.
constexpr double MaxRateToDemandRatio = 3.0;
// While the pool holds more than this fraction of the burst, clients' buckets are filled in
// advance.
constexpr double PrefillPoolFraction = 0.2;
// Demand above the rate by this factor counts as overload; less may be measurement noise.
constexpr double OverloadRatio = 1.05;
// Fraction of the burst that is allocated by demand; the rest serves top-ups.
constexpr double AllocatedBurstFraction = 0.25;
// Below this demand a VM gets single tokens only.
constexpr double NegligibleDemandPerSecond = 0.05;
// Fraction of the burst that stays in the pool for clients with waiting statements.
constexpr double ReservedBurstFraction = 0.4;
// A bucket of less than one token admits nothing.
constexpr double MinBurst = 1.0;

double committedRate(const AllocatedSlice &slice)
{
    return std::max(slice.reportedPerSecond, slice.grantedPerSecond);
}

double committedBurst(const AllocatedSlice &slice)
{
    return std::max(slice.reportedBurst, slice.grantedBurst);
}

struct Totals
{
    double perSecond = 0;
    double burst = 0;
    double demand = 0;
};

Totals totalsOf(const QuotaAllocator &allocator)
{
    Totals totals;
    for (const auto &[holder, slice] : allocator.slices) {
        totals.perSecond += committedRate(slice);
        totals.burst += committedBurst(slice);
        totals.demand += slice.demandPerSecond;
    }
    return totals;
}

double secondsOf(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerSecond;
}

// Adds the tokens that no client can be generating. Call before any change of the slices.
void fill(QuotaAllocator &allocator, Instant now)
{
    if (!allocator.open) {
        allocator.tokens = 0;
    } else if (now > allocator.filledAt) {
        double generated = secondsOf(now - allocator.filledAt) * allocator.limit.perSecond;
        for (const auto &[holder, slice] : allocator.slices) {
            const Instant from = std::max(allocator.filledAt, slice.delegatedUntil);
            generated -= secondsOf(std::max(Duration::zero(), now - from)) * committedRate(slice);
        }
        const double room = std::max(0.0, allocator.limit.burst - totalsOf(allocator).burst);
        allocator.tokens =
            std::min(room, allocator.tokens + std::max(0.0, generated) * (1 - MaxClockDrift));
    }
    allocator.filledAt = std::max(allocator.filledAt, now);
}

void capTokens(QuotaAllocator &allocator)
{
    const double room = std::max(0.0, allocator.limit.burst - totalsOf(allocator).burst);
    allocator.tokens = std::min(allocator.tokens, room);
}

Instant sliceEndWithDrift(Duration lasts, Instant now)
{
    const auto drift =
        static_cast<Duration::rep>(static_cast<double>(lasts.count()) * 2 * MaxClockDrift);
    return now + lasts + Duration(drift) + DriftMargin;
}

// Removes ended slices, provided that no backup owner can have renewed them.
void removeEndedSlices(QuotaAllocator &allocator, Instant now)
{
    const bool certain = allocator.role != RateOwnerRole::Primary ||
                         (now >= allocator.backupSlicesEndAt && !allocator.hasBackup);
    if (!certain) {
        return;
    }
    fill(allocator, now);
    std::erase_if(allocator.slices, [&](const auto &it) { return now >= it.second.until; });
}

void openIfQuarantineEnded(QuotaAllocator &allocator, Instant now)
{
    if (allocator.role == RateOwnerRole::Primary && !allocator.open && !allocator.hasBackup &&
        now >= allocator.primarySlicesEndAt) {
        fill(allocator, now);
        allocator.open = true;
    }
}

// Applies a client's report of what it holds, what it returned and which grant it did not receive.
AllocatedSlice &applyReport(QuotaAllocator &allocator, const SliceRequest &request)
{
    const auto [it, isNew] = allocator.slices.try_emplace(request.client);
    AllocatedSlice &slice = it->second;
    if (!isNew) {
        const double before = slice.returnedTokens.value_or(request.returnedTokens);
        allocator.tokens += std::max(0.0, request.returnedTokens - before);
        if (request.appliedSequence < slice.sequence) {
            allocator.tokens += slice.unconfirmedTokens;
        }
    }
    if (slice.delegated && request.appliedSequence == slice.sequence) {
        slice.delegatedUntil = slice.repliedAt + DelegationDuration;
    }
    slice.unconfirmedTokens = 0;
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

SliceReply renew(const QuotaAllocator &allocator, const SliceRequest &request)
{
    SliceReply reply;
    reply.sequence = request.sequence;
    reply.verdict = SliceVerdict::Renewed;
    reply.perSecond = std::min(request.heldPerSecond, allocator.limit.perSecond);
    reply.burst = std::min(request.heldBurst, allocator.limit.burst);
    return reply;
}

double rateFor(const QuotaAllocator &allocator, double demand, double totalDemand)
{
    if (demand < NegligibleDemandPerSecond || allocator.limit.perSecond <= 0) {
        return 0;
    }
    const double share = AllocatedRateFraction * allocator.limit.perSecond * demand / totalDemand;
    return std::min(share, MaxRateToDemandRatio * demand);
}

// Tokens to transfer: whole tokens for waiting statements, and a full bucket while the pool has
// plenty.
double tokensFor(const QuotaAllocator &allocator, const SliceRequest &request, double burst)
{
    const double room = std::max(0.0, burst - request.heldTokens);
    if (allocator.tokens >= PrefillPoolFraction * allocator.limit.burst && allocator.tokens >= 1) {
        return std::min(room, allocator.tokens);
    }
    const double needed = std::max(request.requestedTokens, request.heldTokens);
    const double reachable = std::min({needed, request.heldTokens + allocator.tokens, burst});
    return std::max(0.0, std::floor(reachable) - request.heldTokens);
}

// Burst for a client: by its demand while the pool keeps its reserve, and in any case room for its
// waiting statements. Less than one token is rounded down to none, as the client could not use it.
double burstFor(const QuotaAllocator &allocator, const SliceRequest &request, double totalDemand,
                double freeBurst)
{
    double burst = 0;
    if (request.demandPerSecond >= NegligibleDemandPerSecond) {
        const double allocatable = AllocatedBurstFraction * allocator.limit.burst;
        const bool enoughForAll = static_cast<double>(allocator.slices.size()) <= allocatable;
        burst = std::max(enoughForAll ? MinBurst : 0,
                         allocatable * request.demandPerSecond / totalDemand);
        burst = std::min(burst, freeBurst - ReservedBurstFraction * allocator.limit.burst);
    }
    burst = std::max(burst, std::min(request.requestedTokens, freeBurst));
    return burst < 1 ? 0 : burst;
}

SliceReply allocate(QuotaAllocator &allocator, const SliceRequest &request, AllocatedSlice &slice)
{
    const Totals all = totalsOf(allocator);
    const double freeRate = allocator.limit.perSecond - (all.perSecond - committedRate(slice));
    const double freeBurst = allocator.limit.burst - (all.burst - committedBurst(slice));
    SliceReply reply;
    reply.sequence = request.sequence;
    reply.verdict = SliceVerdict::Allocated;
    reply.perSecond = std::clamp(rateFor(allocator, slice.demandPerSecond, all.demand), 0.0,
                                 std::max(0.0, freeRate));
    reply.burst = burstFor(allocator, request, all.demand, freeBurst);
    reply.tokens = tokensFor(allocator, request, reply.burst);
    reply.delegated = true;
    allocator.tokens -= reply.tokens;
    reply.exhausted =
        allocator.tokens < 1 && all.demand > OverloadRatio * allocator.limit.perSecond;
    return reply;
}

} // namespace

QuotaAllocator makeQuotaAllocator(const RateLimit &limit, RateOwnerRole role, bool hasBackup,
                                  Instant now)
{
    QuotaAllocator allocator;
    allocator.limit = limit;
    allocator.role = role;
    allocator.hasBackup = hasBackup;
    allocator.primarySlicesEndAt = now + AllocationQuarantine;
    allocator.backupSlicesEndAt = allocator.primarySlicesEndAt;
    allocator.filledAt = now;
    return allocator;
}

void openWithoutQuarantine(QuotaAllocator &allocator, Instant unallocatedSince, Instant now)
{
    allocator.open = allocator.role == RateOwnerRole::Primary;
    allocator.primarySlicesEndAt = unallocatedSince;
    allocator.backupSlicesEndAt = unallocatedSince;
    allocator.filledAt = unallocatedSince;
    fill(allocator, now);
}

void onMemberList(QuotaAllocator &allocator, RateOwnerRole role, bool hasBackup,
                  bool leaseWasContinuous, Instant now)
{
    fill(allocator, now);
    if (role != RateOwnerRole::Primary || allocator.role != RateOwnerRole::Primary ||
        !leaseWasContinuous) {
        allocator.open = false;
        allocator.tokens = 0;
        allocator.primarySlicesEndAt = now + AllocationQuarantine;
    }
    allocator.role = role;
    allocator.hasBackup = hasBackup;
    allocator.backupSlicesEndAt = now + AllocationQuarantine;
}

void startQuarantine(QuotaAllocator &allocator, std::optional<Instant> now)
{
    const Instant end = now ? *now + AllocationQuarantine : Instant::max();
    if (!allocator.open) {
        allocator.primarySlicesEndAt = end;
    }
    allocator.backupSlicesEndAt = end;
}

void setLimit(QuotaAllocator &allocator, const RateLimit &limit, Instant now)
{
    fill(allocator, now);
    allocator.limit = limit;
    capTokens(allocator);
}

SliceReply onRequest(QuotaAllocator &allocator, const SliceRequest &request, Instant now)
{
    SliceReply refused;
    refused.sequence = request.sequence;
    if (allocator.role == RateOwnerRole::None) {
        return refused;
    }
    fill(allocator, now);
    removeEndedSlices(allocator, now);
    openIfQuarantineEnded(allocator, now);
    const auto known = allocator.slices.find(request.client);
    if (known != allocator.slices.end() && request.sequence <= known->second.sequence) {
        return refused;
    }
    AllocatedSlice &slice = applyReport(allocator, request);
    capTokens(allocator);
    if (request.release) {
        allocator.slices.erase(request.client);
        return refused;
    }
    const SliceReply reply =
        allocator.open ? allocate(allocator, request, slice) : renew(allocator, request);
    slice.grantedPerSecond = reply.perSecond;
    slice.grantedBurst = reply.burst;
    slice.unconfirmedTokens = reply.tokens;
    slice.repliedAt = now;
    slice.delegated = reply.delegated;
    slice.until = sliceEndWithDrift(SliceDuration, now);
    capTokens(allocator);
    return reply;
}

bool needsLookup(const QuotaAllocator &allocator, Instant now)
{
    if (allocator.role != RateOwnerRole::Primary || !allocator.hasBackup) {
        return false;
    }
    if (!allocator.open) {
        return now >= allocator.primarySlicesEndAt;
    }
    return now >= allocator.backupSlicesEndAt &&
           std::any_of(allocator.slices.begin(), allocator.slices.end(),
                       [&](const auto &it) { return now >= it.second.until; });
}

std::vector<SliceRecord> liveSlices(const QuotaAllocator &allocator, Instant now)
{
    std::vector<SliceRecord> records;
    for (const auto &[holder, slice] : allocator.slices) {
        if (now < slice.until) {
            records.push_back({holder, slice.sequence, committedRate(slice), committedBurst(slice),
                               slice.demandPerSecond, slice.until - now});
        }
    }
    return records;
}

void onLookup(QuotaAllocator &allocator, std::span<const SliceRecord> records, Instant requestedAt,
              Instant now)
{
    if (allocator.role != RateOwnerRole::Primary || requestedAt < allocator.backupSlicesEndAt) {
        return;
    }
    fill(allocator, now);
    for (const SliceRecord &it : records) {
        const auto [entry, isNew] = allocator.slices.try_emplace(it.client);
        AllocatedSlice &slice = entry->second;
        if (isNew || it.sequence > slice.sequence) {
            slice.sequence = it.sequence;
            slice.unconfirmedTokens = 0;
            slice.returnedTokens.reset();
            slice.reportedPerSecond = std::max(slice.reportedPerSecond, it.perSecond);
            slice.reportedBurst = std::max(slice.reportedBurst, it.burst);
            slice.demandPerSecond = it.demandPerSecond;
        }
        slice.until = std::max(slice.until, sliceEndWithDrift(it.remaining, now));
    }
    std::erase_if(allocator.slices, [&](const auto &it) { return requestedAt >= it.second.until; });
    if (!allocator.open && requestedAt >= allocator.primarySlicesEndAt) {
        allocator.open = true;
    }
    capTokens(allocator);
}

std::optional<AllocatorHandover> handOver(QuotaAllocator &allocator, Instant now)
{
    if (!allocator.open) {
        return std::nullopt;
    }
    fill(allocator, now);
    AllocatorHandover handover;
    handover.tokens = allocator.tokens;
    for (const auto &[holder, slice] : allocator.slices) {
        handover.slices.push_back({holder, slice.sequence, committedRate(slice),
                                   committedBurst(slice), slice.demandPerSecond,
                                   std::max(Duration::zero(), slice.until - now)});
    }
    allocator.open = false;
    allocator.tokens = 0;
    allocator.primarySlicesEndAt = now + AllocationQuarantine;
    return handover;
}

bool takeOver(QuotaAllocator &allocator, const AllocatorHandover &handover, Instant now)
{
    if (allocator.role != RateOwnerRole::Primary || allocator.open) {
        return false;
    }
    for (const SliceRecord &it : handover.slices) {
        AllocatedSlice &slice = allocator.slices[it.client];
        slice.sequence = std::max(slice.sequence, it.sequence);
        slice.returnedTokens.reset();
        slice.reportedPerSecond = std::max(slice.reportedPerSecond, it.perSecond);
        slice.reportedBurst = std::max(slice.reportedBurst, it.burst);
        slice.demandPerSecond = std::max(slice.demandPerSecond, it.demandPerSecond);
        slice.until = std::max(slice.until, sliceEndWithDrift(it.remaining, now));
    }
    allocator.open = true;
    allocator.tokens = handover.tokens;
    allocator.filledAt = now;
    capTokens(allocator);
    return true;
}

bool isIdle(const QuotaAllocator &allocator, Instant now)
{
    QuotaAllocator filled = allocator;
    fill(filled, now);
    return filled.slices.empty() && filled.open && now >= filled.backupSlicesEndAt &&
           filled.tokens >= filled.limit.burst;
}

} // namespace gentianplank
