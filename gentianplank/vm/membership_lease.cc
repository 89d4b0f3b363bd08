#include "gentianplank/vm/membership_lease.h"

#include <algorithm>
#include <functional>

namespace gentianplank {

namespace {

constexpr Duration JoinPollInterval = std::chrono::milliseconds(100);
constexpr Duration ActivePollInterval = std::chrono::milliseconds(500);
constexpr Duration IdlePollInterval = std::chrono::seconds(5);
constexpr Duration ProofRenewalAge = std::chrono::milliseconds(900);

// Returns the latest instant at or after which a majority, this VM included, was asked and attested
// this VM; Instant{} if there is none.
Instant majorityProofTime(const MembershipLease &lease)
{
    const size_t needed = majorityOf(lease.members);
    if (needed < 2) {
        // A VM that is alone in the list couldn't learn of its own expulsion from peers, so only
        // the store can prove its membership.
        return Instant{};
    }
    const Revisions applied = appliedRevisions(lease);
    std::vector<Instant> times;
    for (const VmInfo &it : lease.members.vms) {
        const auto attestation = lease.attestations.find(it.name);
        if (it.name != lease.vm && attestation != lease.attestations.end() &&
            attestation->second.isAttested && attestation->second.incarnation == it.incarnation &&
            covers(applied, attestation->second.reported)) {
            times.push_back(attestation->second.requestSentAt);
        }
    }
    const size_t others = needed - 1;
    if (times.size() < others) {
        return Instant{};
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[others - 1];
}

void advanceProof(MembershipLease &lease, Instant requestSentAt, ProofKind kind)
{
    if (requestSentAt > lease.provenAt) {
        lease.provenAt = requestSentAt;
        lease.provenBy = kind;
    }
}

// Extends the lease as far as the recorded replies and the applied revisions allow.
void updateProof(MembershipLease &lease)
{
    if (!lease.joined || lease.expelled) {
        return;
    }
    if (lease.storeProof && covers(appliedRevisions(lease), lease.storeProof->reported)) {
        advanceProof(lease, lease.storeProof->requestSentAt, ProofKind::Store);
    }
    advanceProof(lease, majorityProofTime(lease), ProofKind::Majority);
}

// Derives from the applied list whether the VM has joined or is expelled. It may be expelled before
// it has seen any list that names it.
void updateMembershipState(MembershipLease &lease)
{
    if (lease.incarnation == 0) {
        return;
    }
    if (isListed(lease.members, lease.vm, lease.incarnation)) {
        lease.joined = true;
    } else if (lease.members.revision >= lease.incarnation) {
        lease.expelled = true;
    }
}

void adopt(MembershipLease &lease, VmDirectory list)
{
    lease.members = std::move(list);
    updateMembershipState(lease);
}

} // namespace

bool covers(const Revisions &applied, const Revisions &reported)
{
    return applied.configuration >= reported.configuration && applied.members >= reported.members;
}

MembershipLease makeMembershipLease(std::string_view vm, uint64_t incarnation)
{
    MembershipLease lease;
    lease.vm = vm;
    lease.incarnation = incarnation;
    return lease;
}

void startIncarnation(MembershipLease &lease, uint64_t incarnation)
{
    if (lease.incarnation == 0) {
        lease.incarnation = incarnation;
        updateMembershipState(lease);
    }
}

Revisions appliedRevisions(const MembershipLease &lease)
{
    return {lease.configuration, lease.members.revision};
}

void applyConfiguration(MembershipLease &lease, uint64_t revision)
{
    lease.configuration = std::max(lease.configuration, revision);
    if (lease.pending && lease.pending->configurationFloor <= lease.configuration) {
        adopt(lease, std::move(*lease.pending));
        lease.pending.reset();
    }
    updateProof(lease);
}

void applyMembers(MembershipLease &lease, const VmDirectory &list)
{
    if (list.revision <= lease.members.revision) {
        return;
    }
    if (list.configurationFloor <= lease.configuration) {
        adopt(lease, list);
        if (lease.pending && lease.pending->revision <= list.revision) {
            lease.pending.reset();
        }
    } else if (!lease.pending || lease.pending->revision < list.revision) {
        lease.pending = list;
    }
    updateProof(lease);
}

void recordStoreProof(MembershipLease &lease, Instant requestSentAt, const Revisions &reported)
{
    if (!lease.storeProof || lease.storeProof->requestSentAt < requestSentAt) {
        lease.storeProof = StoreProof{requestSentAt, reported};
    }
    updateProof(lease);
}

void recordAttestation(MembershipLease &lease, std::string_view peer,
                       const Attestation &attestation)
{
    Attestation &latest = lease.attestations[std::string(peer)];
    if (latest.requestSentAt < attestation.requestSentAt) {
        latest = attestation;
    }
    updateProof(lease);
}

bool attestsMembership(const MembershipLease &lease, std::string_view vm, uint64_t incarnation)
{
    return lease.joined && !lease.expelled && isListed(lease.members, vm, incarnation);
}

Instant leaseExpiry(const MembershipLease &lease)
{
    if (!lease.joined || lease.expelled || lease.provenAt == Instant{}) {
        return Instant{};
    }
    return lease.provenAt + MembershipLeaseDuration;
}

bool isLeaseValid(const MembershipLease &lease, Instant now)
{
    return now < leaseExpiry(lease);
}

Duration storePollInterval(const MembershipLease &lease, bool isStorePoller, Instant now)
{
    if (!lease.joined) {
        return JoinPollInterval;
    }
    if (isStorePoller || now - lease.provenAt > ProofRenewalAge) {
        return ActivePollInterval;
    }
    return IdlePollInterval;
}

bool isConfigurationAccepted(const MembershipLease &lease, uint64_t configuration,
                             uint64_t membersRevision)
{
    if (lease.members.revision < membersRevision || lease.members.vms.empty()) {
        return false;
    }
    const size_t waiting = laggingVms(lease, configuration).size();
    return lease.members.vms.size() - waiting >= majorityOf(lease.members);
}

bool isListAccepted(const VmDirectory &list,
                    const std::map<std::string, Attestation, std::less<>> &reported)
{
    if (list.predecessorSize < 2) {
        return true;
    }
    size_t n = 0;
    for (const VmInfo &it : list.vms) {
        const auto attestation = reported.find(it.name);
        if (attestation != reported.end() && attestation->second.incarnation == it.incarnation &&
            attestation->second.reported.members >= list.revision) {
            ++n;
        }
    }
    return n >= majorityOf(list);
}

bool isAppliedListAccepted(const MembershipLease &lease)
{
    auto reported = lease.attestations;
    reported[lease.vm] = {lease.incarnation, {}, appliedRevisions(lease), true};
    return isListAccepted(lease.members, reported);
}

std::vector<std::string> laggingVms(const MembershipLease &lease, uint64_t configuration)
{
    std::vector<std::string> names;
    for (const VmInfo &it : lease.members.vms) {
        if (it.name == lease.vm && it.incarnation == lease.incarnation) {
            if (lease.configuration < configuration) {
                names.push_back(it.name);
            }
            continue;
        }
        const auto attestation = lease.attestations.find(it.name);
        const bool reported = attestation != lease.attestations.end() &&
                              attestation->second.incarnation == it.incarnation &&
                              attestation->second.reported.configuration >= configuration;
        if (!reported) {
            names.push_back(it.name);
        }
    }
    return names;
}

} // namespace gentianplank
