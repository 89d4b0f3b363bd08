#include "gentianplank/vm/member_change.h"

namespace gentianplank {

namespace {

// Returns the list if a majority of it has replied since `heardSince`. The joining VM counts as one
// that will.
std::optional<VmDirectory> ifMajorityReachable(VmDirectory next,
                                               const PeerAttestations &attestations,
                                               Instant heardSince, std::string_view joining = {})
{
    size_t n = 0;
    for (const VmInfo &it : next.vms) {
        const auto attestation = attestations.find(it.name);
        const bool heard = attestation != attestations.end() &&
                           attestation->second.incarnation == it.incarnation &&
                           attestation->second.requestSentAt >= heardSince;
        n += heard || it.name == joining ? 1U : 0U;
    }
    if (n < majorityOf(next)) {
        return std::nullopt;
    }
    return next;
}

} // namespace

PeerAttestations attestationsWithOwn(const MembershipLease &lease, Instant now)
{
    PeerAttestations attestations = lease.attestations;
    if (lease.incarnation != 0) {
        attestations[lease.vm] = {lease.incarnation, now, appliedRevisions(lease), true};
    }
    return attestations;
}

std::optional<VmDirectory> listWithJoined(const StoredMembers &stored, const VmInfo &self,
                                          const PeerAttestations &attestations, Instant heardSince)
{
    if (!isListAccepted(stored.list, attestations)) {
        return std::nullopt;
    }
    if (findVm(stored.list, self.name) != nullptr) {
        return ifMajorityReachable(withoutVm(stored.list, self.name), attestations, heardSince);
    }
    VmInfo joined = self;
    joined.incarnation = stored.list.revision + 1;
    return ifMajorityReachable(withVm(stored.list, joined), attestations, heardSince, self.name);
}

std::optional<VmDirectory> listWithLeaving(const StoredMembers &stored, std::string_view vm,
                                           uint64_t incarnation,
                                           const PeerAttestations &attestations, Instant heardSince)
{
    if (!isListed(stored.list, vm, incarnation) || !isListAccepted(stored.list, attestations)) {
        return std::nullopt;
    }
    VmInfo leaving = *findVm(stored.list, vm);
    leaving.leaving = true;
    return ifMajorityReachable(withVm(stored.list, leaving), attestations, heardSince);
}

std::optional<VmDirectory> listWithRemoved(const StoredMembers &stored, std::string_view vm,
                                           uint64_t incarnation,
                                           const PeerAttestations &attestations, Instant heardSince)
{
    if (!isListed(stored.list, vm, incarnation) || !isListAccepted(stored.list, attestations)) {
        return std::nullopt;
    }
    return ifMajorityReachable(withoutVm(stored.list, vm), attestations, heardSince);
}

} // namespace gentianplank
