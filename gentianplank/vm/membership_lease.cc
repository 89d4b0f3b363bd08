#include "gentianplank/vm/membership_lease.h"

#include <algorithm>
#include <functional>

namespace gentianplank {

namespace {

constexpr Duration JoinPoll = std::chrono::milliseconds(100);
constexpr Duration CellPoll = std::chrono::milliseconds(500);
constexpr Duration IdlePoll = std::chrono::seconds(5);
constexpr Duration ProofGrowsOld = std::chrono::milliseconds(900);

// The start of the majority proof: the latest instant after which a majority vouched, this VM
// itself included.
Instant majorityProofAt(const MembershipLease &standing)
{
    const size_t needed = majorityOf(standing.members);
    if (needed < 2) {
        // Alone in the list, a VM could not learn of its own expulsion: only the store proves.
        return Instant{};
    }
    const Revisions applied = appliedRevisions(standing);
    std::vector<Instant> times;
    for (const VmInfo &it : standing.members.vms) {
        const auto attestation = standing.attestations.find(it.name);
        if (it.name != standing.vm && attestation != standing.attestations.end() &&
            attestation->second.isAttested && attestation->second.incarnation == it.incarnation &&
            covers(applied, attestation->second.reported)) {
            times.push_back(attestation->second.askedAt);
        }
    }
    const size_t others = needed - 1;
    if (times.size() < others) {
        return Instant{};
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[others - 1];
}

void advanceProof(MembershipLease &standing, Instant askedAt, ProofKind kind)
{
    if (askedAt > standing.provenAt) {
        standing.provenAt = askedAt;
        standing.provenBy = kind;
    }
}

// Draws what follows from the answers and the applied revisions.
void settleProof(MembershipLease &standing)
{
    if (!standing.joined || standing.expelled) {
        return;
    }
    if (standing.storeProof && covers(appliedRevisions(standing), standing.storeProof->reported)) {
        advanceProof(standing, standing.storeProof->askedAt, ProofKind::Store);
    }
    advanceProof(standing, majorityProofAt(standing), ProofKind::Majority);
}

// Learns from the applied list whether the VM has joined or is expelled. It may have been expelled
// before it saw any list that named it.
void lookUpSelf(MembershipLease &standing)
{
    if (standing.incarnation == 0) {
        return;
    }
    if (isListed(standing.members, standing.vm, standing.incarnation)) {
        standing.joined = true;
    } else if (standing.members.revision >= standing.incarnation) {
        standing.expelled = true;
    }
}

void adopt(MembershipLease &standing, VmDirectory list)
{
    standing.members = std::move(list);
    lookUpSelf(standing);
}

} // namespace

bool covers(const Revisions &applied, const Revisions &reported)
{
    return applied.configuration >= reported.configuration && applied.members >= reported.members;
}

MembershipLease makeMembershipLease(std::string_view vm, uint64_t incarnation)
{
    MembershipLease standing;
    standing.vm = vm;
    standing.incarnation = incarnation;
    return standing;
}

void startIncarnation(MembershipLease &standing, uint64_t incarnation)
{
    if (standing.incarnation == 0) {
        standing.incarnation = incarnation;
        lookUpSelf(standing);
    }
}

Revisions appliedRevisions(const MembershipLease &standing)
{
    return {standing.configuration, standing.members.revision};
}

void applyConfiguration(MembershipLease &standing, uint64_t revision)
{
    standing.configuration = std::max(standing.configuration, revision);
    if (standing.pending && standing.pending->configurationFloor <= standing.configuration) {
        adopt(standing, std::move(*standing.pending));
        standing.pending.reset();
    }
    settleProof(standing);
}

void applyMembers(MembershipLease &standing, const VmDirectory &list)
{
    if (list.revision <= standing.members.revision) {
        return;
    }
    if (list.configurationFloor <= standing.configuration) {
        adopt(standing, list);
        if (standing.pending && standing.pending->revision <= list.revision) {
            standing.pending.reset();
        }
    } else if (!standing.pending || standing.pending->revision < list.revision) {
        standing.pending = list;
    }
    settleProof(standing);
}

void recordStoreProof(MembershipLease &standing, Instant askedAt, const Revisions &reported)
{
    if (!standing.storeProof || standing.storeProof->askedAt < askedAt) {
        standing.storeProof = StoreProof{askedAt, reported};
    }
    settleProof(standing);
}

void recordAttestation(MembershipLease &standing, std::string_view peer,
                       const Attestation &attestation)
{
    Attestation &latest = standing.attestations[std::string(peer)];
    if (latest.askedAt < attestation.askedAt) {
        latest = attestation;
    }
    settleProof(standing);
}

bool attestsMembership(const MembershipLease &standing, std::string_view vm, uint64_t incarnation)
{
    return standing.joined && !standing.expelled && isListed(standing.members, vm, incarnation);
}

Instant leaseExpiry(const MembershipLease &standing)
{
    if (!standing.joined || standing.expelled || standing.provenAt == Instant{}) {
        return Instant{};
    }
    return standing.provenAt + MembershipLeaseDuration;
}

bool isLeaseValid(const MembershipLease &standing, Instant now)
{
    return now < leaseExpiry(standing);
}

Duration storePollInterval(const MembershipLease &standing, bool isStorePoller, Instant now)
{
    if (!standing.joined) {
        return JoinPoll;
    }
    if (isStorePoller || now - standing.provenAt > ProofGrowsOld) {
        return CellPoll;
    }
    return IdlePoll;
}

bool isConfigurationAccepted(const MembershipLease &standing, uint64_t configuration,
                             uint64_t storedWith)
{
    if (standing.members.revision < storedWith || standing.members.vms.empty()) {
        return false;
    }
    const size_t waiting = laggingVms(standing, configuration).size();
    return standing.members.vms.size() - waiting >= majorityOf(standing.members);
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

bool isAppliedListAccepted(const MembershipLease &standing)
{
    auto reported = standing.attestations;
    reported[standing.vm] = {standing.incarnation, {}, appliedRevisions(standing), true};
    return isListAccepted(standing.members, reported);
}

std::vector<std::string> laggingVms(const MembershipLease &standing, uint64_t configuration)
{
    std::vector<std::string> names;
    for (const VmInfo &it : standing.members.vms) {
        if (it.name == standing.vm && it.incarnation == standing.incarnation) {
            if (standing.configuration < configuration) {
                names.push_back(it.name);
            }
            continue;
        }
        const auto attestation = standing.attestations.find(it.name);
        const bool reported = attestation != standing.attestations.end() &&
                              attestation->second.incarnation == it.incarnation &&
                              attestation->second.reported.configuration >= configuration;
        if (!reported) {
            names.push_back(it.name);
        }
    }
    return names;
}

} // namespace gentianplank
