#include "gentianplank/node/control/primary_selection.h"

#include <algorithm>

namespace gentianplank {

namespace {

const MemberReport *findLaterPrimary(const SelectionInput &input)
{
    const auto leadsLaterTerm = [&](const MemberReport &it) {
        return it.status && it.status->isPrimary && it.entry.id != input.record.primary &&
               it.status->term > input.record.term;
    };
    const auto it = std::find_if(input.reports.begin(), input.reports.end(), leadsLaterTerm);
    return it == input.reports.end() ? nullptr : &*it;
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
    if (const MemberReport *primary = findLaterPrimary(input)) {
        return {SelectionStep::Adopt, primary};
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
