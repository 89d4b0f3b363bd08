#include "gentianplank/organisation/rate_owner.h"

#include "gentianplank/base/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gentianplank {

namespace {

RateOwnerRole roleOf(const RateOwner &keeper, const RateOwnerNames &owners)
{
    if (owners.primary == keeper.self.vm) {
        return RateOwnerRole::Primary;
    }
    return owners.backup == keeper.self.vm ? RateOwnerRole::Backup : RateOwnerRole::None;
}

// Ends a lender's role and keeps what its successor needs.
void collectHandover(RateOwner &keeper, const std::string &organisation, QuotaAllocator &lender,
                     Instant now)
{
    auto handover = handOver(lender, now);
    const std::string to = rateOwnersOf(keeper.members, organisation).primary;
    if (handover && !to.empty()) {
        handover->organisation = organisation;
        handover->listRevision = keeper.members.revision;
        keeper.handovers[organisation] = {std::move(*handover), to, false, false};
    }
}

bool isFounder(const RateOwner &keeper, Instant now)
{
    return keeper.foundedAt && now - *keeper.foundedAt < AllocationQuarantine - DriftMargin;
}

// Adds the lender of an organisation that this VM has not met yet.
QuotaAllocator &addLender(RateOwner &keeper, const std::string &organisation,
                          const RateLimit &limit, Instant now)
{
    const RateOwnerNames owners = rateOwnersOf(keeper.members, organisation);
    const RateOwnerRole role = roleOf(keeper, owners);
    const bool hasBackup = !owners.backup.empty();
    QuotaAllocator &lender =
        keeper.lenders.emplace(organisation, makeQuotaAllocator(limit, role, hasBackup, now))
            .first->second;
    startQuarantine(lender, keeper.listAcceptedAt);
    const Instant settled = lender.opensAt;
    if (isFounder(keeper, now)) {
        lender.role = RateOwnerRole::Primary;
        openSince(lender, Instant{}, now);
        if (role != RateOwnerRole::Primary) {
            collectHandover(keeper, organisation, lender, now);
            onMemberList(lender, role, hasBackup, false, now);
            startQuarantine(lender, keeper.listAcceptedAt);
        }
    } else if (role == RateOwnerRole::Primary && now >= settled) {
        openSince(lender, settled, now);
    }
    return lender;
}

// Sends what is pending to the homes of a new list, unless another VM may have accepted it.
void redirectHandovers(RateOwner &keeper, Instant now)
{
    for (auto entry = keeper.handovers.begin(); entry != keeper.handovers.end();) {
        PendingHandover &it = entry->second;
        const std::string to = rateOwnersOf(keeper.members, entry->first).primary;
        const bool isElsewhere = to != it.to && (it.sending || it.uncertain);
        it.to = to;
        it.handover.listRevision = keeper.members.revision;
        if (to == keeper.self.vm && !isElsewhere) {
            takeOver(keeper.lenders[entry->first], it.handover, now);
        }
        const bool isDone = isElsewhere || to == keeper.self.vm;
        entry = isDone ? keeper.handovers.erase(entry) : std::next(entry);
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
    RateOwner keeper;
    keeper.self = self;
    return keeper;
}

void setMembers(RateOwner &keeper, const RateMembers &members, Instant now)
{
    if (members.revision <= keeper.members.revision) {
        return;
    }
    const bool isFirst = keeper.members.revision == 0;
    const bool wasSure =
        keeper.members.revision > 0 && now - keeper.leaseHeldAt < SliceDuration - DriftMargin;
    keeper.members = members;
    keeper.listAcceptedAt.reset();
    if (isFirst) {
        keeper.foundedAt = members.foundedAt;
    } else if (!wasSure) {
        keeper.foundedAt.reset();
    }
    for (auto &[organisation, lender] : keeper.lenders) {
        const RateOwnerNames owners = rateOwnersOf(members, organisation);
        const RateOwnerRole role = roleOf(keeper, owners);
        if (role != RateOwnerRole::Primary && wasSure && !keeper.handovers.contains(organisation)) {
            collectHandover(keeper, organisation, lender, now);
        }
        onMemberList(lender, role, !owners.backup.empty(), wasSure, now);
        startQuarantine(lender, std::nullopt);
    }
    redirectHandovers(keeper, now);
    setLimits(keeper, std::map(keeper.limits), now);
}

void recordListAccepted(RateOwner &keeper, uint64_t revision, Instant now)
{
    if (revision != keeper.members.revision || keeper.listAcceptedAt) {
        return;
    }
    keeper.listAcceptedAt = now;
    for (auto &[organisation, lender] : keeper.lenders) {
        startQuarantine(lender, now);
    }
}

void setLimits(RateOwner &keeper, const std::map<std::string, RateLimit, std::less<>> &limits,
               Instant now)
{
    keeper.limits = limits;
    for (auto &[organisation, lender] : keeper.lenders) {
        const auto it = limits.find(organisation);
        setLimit(lender, it == limits.end() ? RateLimit{} : it->second, now);
    }
    if (keeper.members.revision == 0) {
        return;
    }
    for (const auto &[organisation, limit] : limits) {
        const bool isHome = rateOwnersOf(keeper.members, organisation).primary == keeper.self.vm;
        if ((isHome || isFounder(keeper, now)) && !keeper.lenders.contains(organisation)) {
            addLender(keeper, organisation, limit, now);
        }
    }
}

void recordLease(RateOwner &keeper, Instant now)
{
    keeper.leaseHeldAt = std::max(keeper.leaseHeldAt, now);
}

SliceReply onRequest(RateOwner &keeper, std::string_view organisation, const SliceRequest &request,
                     Instant now)
{
    const auto known = keeper.lenders.find(organisation);
    if (known != keeper.lenders.end()) {
        return onRequest(known->second, request, now);
    }
    const auto limit = keeper.limits.find(organisation);
    if (limit != keeper.limits.end() && keeper.members.revision > 0) {
        return onRequest(addLender(keeper, limit->first, limit->second, now), request, now);
    }
    SliceReply refused;
    refused.sequence = request.sequence;
    return refused;
}

std::vector<std::string> dueLookups(const RateOwner &keeper, Instant now)
{
    std::vector<std::string> due;
    for (const auto &[organisation, lender] : keeper.lenders) {
        if (needsLookup(lender, now)) {
            due.push_back(organisation);
        }
    }
    return due;
}

std::vector<SliceRecord> liveSlices(const RateOwner &keeper, std::string_view organisation,
                                    Instant now)
{
    const auto it = keeper.lenders.find(organisation);
    return it == keeper.lenders.end() ? std::vector<SliceRecord>{} : liveSlices(it->second, now);
}

void onLookup(RateOwner &keeper, std::string_view organisation,
              std::span<const SliceRecord> records, Instant askedAt, Instant now)
{
    const auto it = keeper.lenders.find(organisation);
    if (it != keeper.lenders.end()) {
        onLookup(it->second, records, askedAt, now);
    }
}

std::vector<PendingHandover> dueHandovers(RateOwner &keeper)
{
    std::vector<PendingHandover> due;
    for (auto &[organisation, it] : keeper.handovers) {
        if (!it.sending) {
            it.sending = true;
            due.push_back(it);
        }
    }
    return due;
}

void onHandoverAnswer(RateOwner &keeper, std::string_view organisation, HandoverOutcome outcome)
{
    const auto it = keeper.handovers.find(organisation);
    if (it == keeper.handovers.end()) {
        return;
    }
    it->second.sending = false;
    const bool done = outcome == HandoverOutcome::Accepted ||
                      (outcome == HandoverOutcome::Refused && it->second.uncertain);
    if (done) {
        keeper.handovers.erase(it);
    } else {
        it->second.uncertain = outcome == HandoverOutcome::Unanswered;
    }
}

bool onHandover(RateOwner &keeper, const AllocatorHandover &handover, Instant now)
{
    const auto it = keeper.lenders.find(handover.organisation);
    return it != keeper.lenders.end() && handover.listRevision == keeper.members.revision &&
           takeOver(it->second, handover, now);
}

} // namespace gentianplank
