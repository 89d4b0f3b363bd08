#include "gentianplank/node/control/primary_selection.h"

#include <algorithm>

namespace gentianplank {

namespace {

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

// Returns the member that leads the newest term after the old primary's; null if there is none.
// More than one member leads while those of older terms can't reach the newest.
const MemberReport *findNewestPrimary(const SelectionInput &input)
{
    const MemberReport *newest = nullptr;
    for (const MemberReport &it : input.reports) {
        const bool leadsLaterTerm = it.status && it.status->isPrimary &&
                                    it.entry.id != input.record.primary &&
                                    it.status->term > input.record.term;
        if (leadsLaterTerm && (newest == nullptr || newest->status->term < it.status->term)) {
            newest = &it;
        }
    }
    return newest;
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
                               best->entry.isLeaving && !it->entry.isLeaving);
        if (mayLead && isBetter) {
            best = it;
        }
    }
    if (isSynchronous && best != nullptr && best->status->position < newest) {
        return nullptr;
    }
    return best;
}

} // namespace

const MemberReport *findReport(std::span<const MemberReport> reports, std::string_view member)
{
    const auto it = std::find_if(reports.begin(), reports.end(), [&](const MemberReport &report) {
        return report.entry.id == member;
    });
    return it == reports.end() ? nullptr : &*it;
}

Selection selectPrimary(const SelectionInput &input)
{
    // A promotion whose outcome was unknown has taken effect.
    const MemberReport *primary = findNewestPrimary(input);
    const uint64_t newestTerm = newestKnownTerm(input.reports);
    if (primary != nullptr && primary->status->term >= newestTerm) {
        return {SelectionStep::Adopt, primary};
    }
    const uint64_t term = oldTerm(input);
    if (term != 0 && newestTerm > term && !input.arePromotionsSettled) {
        return {SelectionStep::AwaitPrimary, nullptr};
    }
    const MemberReport *old = findReport(input.reports, input.record.primary);
    const bool oldAnswers = old != nullptr && old->status;
    const MemberReport *best = findBestReplica(input);
    if (best == nullptr) {
        // It would go on in a term that another member leads.
        const bool keepsOld = input.hasCatchUpExpired && !input.mayHavePromoted && oldAnswers &&
                              old->status->isPrimary;
        return keepsOld ? Selection{SelectionStep::KeepOldPrimary, old} : Selection{};
    }
    const bool isBehind = oldAnswers && best->status->position < old->status->position;
    if (isBehind && !input.hasCatchUpExpired) {
        return {SelectionStep::AwaitCatchUp, best};
    }
    return {SelectionStep::Promote, best};
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
