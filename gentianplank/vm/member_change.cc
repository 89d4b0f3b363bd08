#include "gentianplank/vm/member_change.h"

namespace gentianplank {

namespace {

// Passes the list on if a majority of it has answered, not counting `joining`, which will.
std::optional<VmDirectory> ifAnswered(VmDirectory next, const PeerAttestations &answers,
                                      Instant heardSince, std::string_view joining = {})
{
    size_t n = 0;
    for (const VmInfo &it : next.vms) {
        const auto answer = answers.find(it.name);
        const bool heard = answer != answers.end() &&
                           answer->second.incarnation == it.incarnation &&
                           answer->second.askedAt >= heardSince;
        n += heard || it.name == joining ? 1U : 0U;
    }
    if (n < majorityOf(next)) {
        return std::nullopt;
    }
    return next;
}

} // namespace

PeerAttestations attestationsWithOwn(const MembershipLease &standing, Instant now)
{
    PeerAttestations answers = standing.attestations;
    if (standing.incarnation != 0) {
        answers[standing.vm] = {standing.incarnation, now, appliedRevisions(standing), true};
    }
    return answers;
}

std::optional<VmDirectory> listWithJoined(const StoredMembers &stored, const VmInfo &self,
                                          const PeerAttestations &answers, Instant heardSince)
{
    if (!isListAccepted(stored.list, answers)) {
        return std::nullopt;
    }
    if (findVm(stored.list, self.name) != nullptr) {
        return ifAnswered(withoutVm(stored.list, self.name), answers, heardSince);
    }
    VmInfo joined = self;
    joined.incarnation = stored.list.revision + 1;
    return ifAnswered(withVm(stored.list, joined), answers, heardSince, self.name);
}

std::optional<VmDirectory> listWithLeaving(const StoredMembers &stored, std::string_view vm,
                                           uint64_t incarnation, const PeerAttestations &answers,
                                           Instant heardSince)
{
    if (!isListed(stored.list, vm, incarnation) || !isListAccepted(stored.list, answers)) {
        return std::nullopt;
    }
    VmInfo leaving = *findVm(stored.list, vm);
    leaving.leaving = true;
    return ifAnswered(withVm(stored.list, leaving), answers, heardSince);
}

std::optional<VmDirectory> listWithRemoved(const StoredMembers &stored, std::string_view vm,
                                           uint64_t incarnation, const PeerAttestations &answers,
                                           Instant heardSince)
{
    if (!isListed(stored.list, vm, incarnation) || !isListAccepted(stored.list, answers)) {
        return std::nullopt;
    }
    return ifAnswered(withoutVm(stored.list, vm), answers, heardSince);
}

} // namespace gentianplank
