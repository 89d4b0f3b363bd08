#include "gentianplank/organisation/rate_owner.h"

#include "gentianplank/base/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gentianplank {

namespace {

RateOwnerRole roleOf(const RateOwner &owner, const RateOwnerNames &owners)
{
    if (owners.primary == owner.self.vm) {
        return RateOwnerRole::Primary;
    }
    return owners.backup == owner.self.vm ? RateOwnerRole::Backup : RateOwnerRole::None;
}

// Ends an allocator's role and stores the state for its successor.
void createHandover(RateOwner &owner, const std::string &organisation, QuotaAllocator &allocator,
                    Instant now)
{
    auto handover = handOver(allocator, now);
    const std::string to = rateOwnersOf(owner.members, organisation).primary;
    if (handover && !to.empty()) {
        handover->organisation = organisation;
        handover->listRevision = owner.members.revision;
        owner.handovers[organisation] = {std::move(*handover), to, false, false};
    }
}

bool isFounder(const RateOwner &owner, Instant now)
{
    return owner.foundedAt && now - *owner.foundedAt < AllocationQuarantine - DriftMargin;
}

// Adds the allocator of an organisation that has none at this VM yet.
QuotaAllocator &addAllocator(RateOwner &owner, const std::string &organisation,
                             const RateLimit &limit, Instant now)
{
    const RateOwnerNames owners = rateOwnersOf(owner.members, organisation);
    const RateOwnerRole role = roleOf(owner, owners);
    const bool hasBackup = !owners.backup.empty();
    QuotaAllocator &allocator =
        owner.allocators.emplace(organisation, makeQuotaAllocator(limit, role, hasBackup, now))
            .first->second;
    startQuarantine(allocator, owner.listAcceptedAt);
    const Instant quarantineEnd = allocator.primarySlicesEndAt;
    if (isFounder(owner, now)) {
        allocator.role = RateOwnerRole::Primary;
        openWithoutQuarantine(allocator, Instant{}, now);
        if (role != RateOwnerRole::Primary) {
            createHandover(owner, organisation, allocator, now);
            onMemberList(allocator, role, hasBackup, false, now);
            startQuarantine(allocator, owner.listAcceptedAt);
        }
    } else if (role == RateOwnerRole::Primary && now >= quarantineEnd) {
        openWithoutQuarantine(allocator, quarantineEnd, now);
    }
    return allocator;
}

// Directs pending handovers to the primary owners of a new list. Drops those that another VM may
// already have accepted.
void redirectHandovers(RateOwner &owner, Instant now)
{
    for (auto entry = owner.handovers.begin(); entry != owner.handovers.end();) {
        PendingHandover &it = entry->second;
        const std::string to = rateOwnersOf(owner.members, entry->first).primary;
        const bool mayServeElsewhere = to != it.to && (it.requestPending || it.mayBeAccepted);
        it.to = to;
        it.handover.listRevision = owner.members.revision;
        if (to == owner.self.vm && !mayServeElsewhere) {
            takeOver(owner.allocators[entry->first], it.handover, now);
        }
        const bool isDone = mayServeElsewhere || to == owner.self.vm;
        entry = isDone ? owner.handovers.erase(entry) : std::next(entry);
    }
}

} // namespace

RateOwnerNames rateOwnersOf(const RateMembers &members, std::string_view organisation)
{
    const auto ranked = rankByRendezvous("rate/" + std::string(organisation), members.vms);
    RateOwnerNames owners;
    if (!ranked.empty()) {
        owners.primary = ranked[0];
    }
    if (ranked.size() > 1) {
        owners.backup = ranked[1];
    }
    return owners;
}

RateOwner makeRateOwner(const VmIncarnation &self)
{
    RateOwner owner;
    owner.self = self;
    return owner;
}

void setMembers(RateOwner &owner, const RateMembers &members, Instant now)
{
    if (members.revision <= owner.members.revision) {
        return;
    }
    const bool isFirst = owner.members.revision == 0;
    const bool leaseWasContinuous =
        owner.members.revision > 0 && now - owner.leaseHeldAt < SliceDuration - DriftMargin;
    owner.members = members;
    owner.listAcceptedAt.reset();
    if (isFirst) {
        owner.foundedAt = members.foundedAt;
    } else if (!leaseWasContinuous) {
        owner.foundedAt.reset();
    }
    for (auto &[organisation, allocator] : owner.allocators) {
        const RateOwnerNames owners = rateOwnersOf(members, organisation);
        const RateOwnerRole role = roleOf(owner, owners);
        if (role != RateOwnerRole::Primary && leaseWasContinuous &&
            !owner.handovers.contains(organisation)) {
            createHandover(owner, organisation, allocator, now);
        }
        onMemberList(allocator, role, !owners.backup.empty(), leaseWasContinuous, now);
        startQuarantine(allocator, std::nullopt);
    }
    redirectHandovers(owner, now);
    setLimits(owner, std::map(owner.limits), now);
}

void recordListAccepted(RateOwner &owner, uint64_t revision, Instant now)
{
    if (revision != owner.members.revision || owner.listAcceptedAt) {
        return;
    }
    owner.listAcceptedAt = now;
    for (auto &[organisation, allocator] : owner.allocators) {
        startQuarantine(allocator, now);
    }
}

void setLimits(RateOwner &owner, const std::map<std::string, RateLimit, std::less<>> &limits,
               Instant now)
{
    owner.limits = limits;
    for (auto &[organisation, allocator] : owner.allocators) {
        const auto it = limits.find(organisation);
        setLimit(allocator, it == limits.end() ? RateLimit{} : it->second, now);
    }
    if (owner.members.revision == 0) {
        return;
    }
    for (const auto &[organisation, limit] : limits) {
        const bool isHome = rateOwnersOf(owner.members, organisation).primary == owner.self.vm;
        if ((isHome || isFounder(owner, now)) && !owner.allocators.contains(organisation)) {
            addAllocator(owner, organisation, limit, now);
        }
    }
}

void recordLease(RateOwner &owner, Instant now)
{
    owner.leaseHeldAt = std::max(owner.leaseHeldAt, now);
}

SliceReply onRequest(RateOwner &owner, std::string_view organisation, const SliceRequest &request,
                     Instant now)
{
    const auto known = owner.allocators.find(organisation);
    if (known != owner.allocators.end()) {
        return onRequest(known->second, request, now);
    }
    const auto limit = owner.limits.find(organisation);
    if (limit != owner.limits.end() && owner.members.revision > 0) {
        return onRequest(addAllocator(owner, limit->first, limit->second, now), request, now);
    }
    SliceReply refused;
    refused.sequence = request.sequence;
    return refused;
}

std::vector<std::string> dueLookups(const RateOwner &owner, Instant now)
{
    std::vector<std::string> due;
    for (const auto &[organisation, allocator] : owner.allocators) {
        if (needsLookup(allocator, now)) {
            due.push_back(organisation);
        }
    }
    return due;
}

std::vector<SliceRecord> liveSlices(const RateOwner &owner, std::string_view organisation,
                                    Instant now)
{
    const auto it = owner.allocators.find(organisation);
    return it == owner.allocators.end() ? std::vector<SliceRecord>{} : liveSlices(it->second, now);
}

void onLookup(RateOwner &owner, std::string_view organisation, std::span<const SliceRecord> records,
              Instant requestedAt, Instant now)
{
    const auto it = owner.allocators.find(organisation);
    if (it != owner.allocators.end()) {
        onLookup(it->second, records, requestedAt, now);
    }
}

std::vector<PendingHandover> dueHandovers(RateOwner &owner)
{
    std::vector<PendingHandover> due;
    for (auto &[organisation, it] : owner.handovers) {
        if (!it.requestPending) {
            it.requestPending = true;
            due.push_back(it);
        }
    }
    return due;
}

void onHandoverAnswer(RateOwner &owner, std::string_view organisation, HandoverOutcome outcome)
{
    const auto it = owner.handovers.find(organisation);
    if (it == owner.handovers.end()) {
        return;
    }
    it->second.requestPending = false;
    const bool done = outcome == HandoverOutcome::Accepted ||
                      (outcome == HandoverOutcome::Refused && it->second.mayBeAccepted);
    if (done) {
        owner.handovers.erase(it);
    } else {
        it->second.mayBeAccepted = outcome == HandoverOutcome::Unanswered;
    }
}

bool onHandover(RateOwner &owner, const AllocatorHandover &handover, Instant now)
{
    const auto it = owner.allocators.find(handover.organisation);
    return it != owner.allocators.end() && handover.listRevision == owner.members.revision &&
           takeOver(it->second, handover, now);
}

} // namespace gentianplank
