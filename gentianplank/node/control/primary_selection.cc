#include "gentianplank/node/control/primary_selection.h"

#include <algorithm>

namespace gentianplank {

namespace {

// A record that would list more is as if it listed none, so that its size is bounded.
constexpr size_t MaxListedPromotions = 16;

// Returns the term of the old primary; 0 if it isn't known.
uint64_t oldTerm(const SelectionInput &input)
{
    const MemberReport *old = findReport(input.reports, input.record.primary);
    const bool leads = old != nullptr && old->status && old->status->isPrimary;
    return std::max(input.record.term, leads ? old->status->term : 0);
}

uint64_t newestKnownTerm(std::span<const MemberReport> reports)
{
    uint64_t newest = 0;
    for (const MemberReport &it : reports) {
        if (it.status) {
            newest = std::max({newest, it.status->term, it.status->position.term});
        }
    }
    return newest;
}

// Whether the promotion of the member was requested last, as far as the record tells.
bool isLastRequested(const GroupRecord &record, std::string_view member)
{
    return record.promoted && !record.promoted->empty() && record.promoted->back() == member;
}

bool mayHaveBeenPromoted(const GroupRecord &record)
{
    return !record.promoted || !record.promoted->empty();
}

// Whether the member leads a term that it was promoted to in this change.
bool leadsNewTerm(const SelectionInput &input, const MemberReport &member)
{
    if (!member.status || !member.status->isPrimary) {
        return false;
    }
    // The platform accepts the promotion of the present primary without effect.
    const bool isConfirmed = member.entry.id == input.lastAccepted && input.arePromotionsSettled;
    const bool isOld = member.entry.id == input.record.primary;
    const bool mayBeNew =
        !isOld || (input.record.term != 0 && mayHaveBeenPromoted(input.record, member.entry.id));
    return isConfirmed || (mayBeNew && member.status->term > input.record.term);
}

// Returns the member that leads the newest term after the old primary's; null if there is none.
// More than one member leads while those of older terms can't reach the newest.
const MemberReport *findNewestPrimary(const SelectionInput &input)
{
    const MemberReport *newest = nullptr;
    for (const MemberReport &it : input.reports) {
        const bool isNewer = newest == nullptr || newest->status->term < it.status->term;
        if (leadsNewTerm(input, it) && isNewer) {
            newest = &it;
        }
    }
    return newest;
}

// Whether all members other than `primary` that may have been promoted have reported their status.
bool haveOthersReported(const SelectionInput &input, const std::string &primary)
{
    if (!input.record.promoted) {
        const auto hasStatus = [](const MemberReport &it) { return it.status.has_value(); };
        return std::all_of(input.reports.begin(), input.reports.end(), hasStatus);
    }
    return std::all_of(input.record.promoted->begin(), input.record.promoted->end(),
                       [&](const std::string &id) {
                           const MemberReport *it = findReport(input.reports, id);
                           return id == primary || (it != nullptr && it->status);
                       });
}

// Whether no promotion can have taken effect after the primary's.
bool isLastPromoted(const SelectionInput &input, const std::string &primary)
{
    const auto &promoted = input.record.promoted;
    if (promoted && promoted->empty()) {
        return true;
    }
    // Before a member is promoted, the earlier promotions are settled. If it was promoted once, it
    // can't lead because of an earlier one.
    if (isLastRequested(input.record, primary) &&
        std::count(promoted->begin(), promoted->end(), primary) == 1) {
        return true;
    }
    return input.arePromotionsSettled &&
           (input.lastAccepted == primary || haveOthersReported(input, primary));
}

// Whether `a` is preferred to `b` at the same position: the one that stays, then the one that was
// promoted last, since its promotion may still take effect.
bool isPreferred(const GroupRecord &record, const MemberReport &a, const MemberReport &b)
{
    if (a.entry.isLeaving != b.entry.isLeaving) {
        return b.entry.isLeaving;
    }
    return isLastRequested(record, a.entry.id);
}

// Returns the replica with the newest position among those that may lead; null if there is none, or
// if it isn't known to hold every acknowledged commit of a group that replicates synchronously.
const MemberReport *findBestReplica(const SelectionInput &input)
{
    std::vector<const MemberReport *> replicas;
    for (const MemberReport &it : input.reports) {
        if (it.status && it.entry.id != input.record.primary && !it.status->isPrimary) {
            replicas.push_back(&it);
        }
    }
    // A commit is acknowledged when this many replicas have received it, and replicas that leave
    // count. With fewer answers, only a silent replica may hold it.
    const bool isSynchronous = input.synchronousReplicas > 0;
    if (isSynchronous && replicas.size() + input.synchronousReplicas <= input.listedReplicas) {
        return nullptr;
    }
    const MemberReport *best = nullptr;
    LogPosition newest;
    for (const MemberReport *it : replicas) {
        newest = std::max(newest, it->status->position);
        // A leaving replica leads only if no other one can hold all acknowledged commits.
        const bool mayLead = (!it->entry.isLeaving || isSynchronous) &&
                             input.excludedMembers.count(it->entry.id) == 0;
        const bool isBetter = best == nullptr || best->status->position < it->status->position ||
                              (best->status->position == it->status->position &&
                               isPreferred(input.record, *it, *best));
        if (mayLead && isBetter) {
            best = it;
        }
    }
    if (isSynchronous && best != nullptr && best->status->position < newest) {
        return nullptr;
    }
    return best;
}

// Returns the member to promote when no replica can take over and the members that may have been
// promoted don't answer: the one with the newest position of those that hold every acknowledged
// commit. These are the old primary and the members that were selected before.
const MemberReport *findLastResort(const SelectionInput &input)
{
    const MemberReport *best = nullptr;
    for (const MemberReport &it : input.reports) {
        const bool holdsAllCommits =
            it.entry.id == input.record.primary || mayHaveBeenPromoted(input.record, it.entry.id);
        const bool mayLead =
            it.status && holdsAllCommits && input.excludedMembers.count(it.entry.id) == 0;
        if (mayLead && (best == nullptr || best->status->position < it.status->position)) {
            best = &it;
        }
    }
    return best;
}

// No replica can take over. The old primary stays if it still serves and no other member may have
// been promoted: it would go on in a term that another member leads. Once it is promoted itself, it
// leads the newest term.
Selection selectWithoutReplica(const SelectionInput &input)
{
    if (!mayHaveBeenPromoted(input.record)) {
        const MemberReport *old = findReport(input.reports, input.record.primary);
        const bool leads = old != nullptr && old->status && old->status->isPrimary;
        return leads && input.hasCatchUpExpired ? Selection{SelectionStep::KeepOldPrimary, old}
                                                : Selection{};
    }
    const MemberReport *last = input.hasPromotedWaitExpired ? findLastResort(input) : nullptr;
    return last == nullptr ? Selection{} : Selection{SelectionStep::Promote, last};
}

} // namespace

bool mayHaveBeenPromoted(const GroupRecord &record, std::string_view member)
{
    return !record.promoted || std::find(record.promoted->begin(), record.promoted->end(),
                                         member) != record.promoted->end();
}

const MemberReport *findReport(std::span<const MemberReport> reports, std::string_view member)
{
    const auto it = std::find_if(reports.begin(), reports.end(), [&](const MemberReport &report) {
        return report.entry.id == member;
    });
    return it == reports.end() ? nullptr : &*it;
}

Selection selectPrimary(const SelectionInput &input)
{
    const MemberReport *primary = findNewestPrimary(input);
    const uint64_t newestTerm = newestKnownTerm(input.reports);
    if (primary != nullptr && primary->status->term >= newestTerm &&
        isLastPromoted(input, primary->entry.id)) {
        return {SelectionStep::Adopt, primary};
    }
    const uint64_t term = oldTerm(input);
    const bool leadsOther = term != 0 && newestTerm > term;
    const MemberReport *best = findBestReplica(input);
    const bool isRepeated = best != nullptr && isLastRequested(input.record, best->entry.id);
    const bool mayLeadOther = leadsOther || (mayHaveBeenPromoted(input.record) && !isRepeated);
    if (mayLeadOther && !input.arePromotionsSettled) {
        return {SelectionStep::AwaitPrimary, nullptr};
    }
    if (best == nullptr) {
        return selectWithoutReplica(input);
    }
    const MemberReport *old = findReport(input.reports, input.record.primary);
    const bool isBehind =
        old != nullptr && old->status && best->status->position < old->status->position;
    if (isBehind && !input.hasCatchUpExpired) {
        return {SelectionStep::AwaitCatchUp, best};
    }
    return {SelectionStep::Promote, best};
}

void addPromotion(GroupRecord &record, const std::string &member)
{
    if (!record.promoted || isLastRequested(record, member)) {
        return;
    }
    if (record.promoted->size() >= MaxListedPromotions) {
        record.promoted.reset();
        return;
    }
    record.promoted->push_back(member);
}

const char *toString(SelectionStep step)
{
    switch (step) {
    case SelectionStep::Adopt:
        return "adopt";
    case SelectionStep::AwaitPrimary:
        return "await_primary";
    case SelectionStep::Promote:
        return "promote";
    case SelectionStep::KeepOldPrimary:
        return "keep_old_primary";
    case SelectionStep::AwaitCatchUp:
        return "await_catch_up";
    case SelectionStep::QueryAgain:
        return "query_again";
    }
    return "";
}

std::string toString(std::span<const MemberReport> reports)
{
    std::string text;
    for (const MemberReport &it : reports) {
        text += text.empty() ? "" : ",";
        text += it.entry.id + ":";
        if (!it.status) {
            text += it.isReachable ? "busy" : "silent";
            continue;
        }
        text += it.status->isPrimary ? "primary:" : "replica:";
        text += std::to_string(it.status->term) + ":" + std::to_string(it.status->position.term) +
                "." + std::to_string(it.status->position.position);
    }
    return text;
}

} // namespace gentianplank
