#include "gentianplank/target/group_view.h"

#include <algorithm>
#include <functional>

namespace gentianplank {

namespace {

// A member with an older last report isn't counted on to confirm a write.
constexpr Duration MaxReportAge = std::chrono::seconds(1);

// Nor is a member that is further behind the primary, in log entries.
constexpr uint64_t MaxReplicaLagEntries = 10000;

MemberView *findMutable(GroupView &view, std::string_view name)
{
    const auto it = std::find_if(view.members.begin(), view.members.end(),
                                 [&](const MemberView &member) { return member.name == name; });
    return it == view.members.end() ? nullptr : &*it;
}

// Upper bound of the drift between a member's clock and this VM's, in parts per million.
constexpr int64_t ClockDriftPerMillion = 500;

// Minimum time between two samples.
constexpr Duration SampleInterval = std::chrono::milliseconds(50);

// Estimates when a report was sent: the member's clock plus the smallest difference to this VM's
// clock seen so far, widened by the possible drift since. A report without a clock is dated by its
// receipt.
Instant sentTimeOf(MemberView &member, const MemberReport &report)
{
    if (!report.sentAt) {
        return report.receivedAt;
    }
    const Duration difference = report.receivedAt.time_since_epoch() - *report.sentAt;
    const bool restarted = *report.sentAt < member.lastSentAt;
    if (!member.clockOffset || restarted) {
        member.clockOffset = difference;
    } else {
        const Duration drift =
            (*report.sentAt - member.lastSentAt) * ClockDriftPerMillion / int64_t{1000000};
        member.clockOffset = std::min(*member.clockOffset + drift, difference);
    }
    member.lastSentAt = *report.sentAt;
    return Instant(*report.sentAt + *member.clockOffset);
}

// Starts a sample at a report of the primary. No write acknowledged before the report can have a
// position above the reported one, provided that the member was still primary then.
void startSample(GroupView &view, const MemberView &member)
{
    const bool due = view.history == nullptr || view.history->empty() ||
                     view.history->back().at + SampleInterval <= member.reportedAt;
    if (!view.pendingSample && due && &member == primaryOf(view)) {
        view.pendingSample = FreshnessSample{member.reportedAt, member.position};
    }
}

// Adds the pending sample to the history once a majority has sent reports that are no older than
// the sample and name no later term, which shows that the member was still primary.
void finishSample(GroupView &view, Instant now)
{
    if (!view.pendingSample) {
        return;
    }
    const FreshnessSample sample = *view.pendingSample;
    if (highestTerm(view) > sample.position.term) {
        view.pendingSample.reset();
        return;
    }
    const auto n =
        std::count_if(view.members.begin(), view.members.end(),
                      [&](const MemberView &member) { return member.reportedAt >= sample.at; });
    if (static_cast<size_t>(n) < majorityOf(view)) {
        return;
    }
    view.pendingSample.reset();
    auto history = view.history == nullptr
                       ? std::make_shared<std::deque<FreshnessSample>>()
                       : std::make_shared<std::deque<FreshnessSample>>(*view.history);
    history->push_back(sample);
    while (history->size() > 1 && history->front().at + MaxAcceptedAge < now) {
        history->pop_front();
    }
    view.history = std::move(history);
}

} // namespace

GroupView makeGroupView(const configuration::v1::Target &target)
{
    GroupView view;
    view.group = target.group();
    updateTarget(view, target);
    return view;
}

void updateTarget(GroupView &view, const configuration::v1::Target &target)
{
    view.slots = target.slots();
    view.connections = target.connections();
    std::vector<MemberView> members;
    for (const configuration::v1::Member &it : target.members()) {
        const MemberView *known = findMember(view, it.name());
        MemberView member = known == nullptr ? MemberView{} : *known;
        member.name = it.name();
        member.address = it.address();
        member.place = {it.zone(), it.region()};
        member.leaving = it.leaving();
        members.push_back(std::move(member));
    }
    view.members = std::move(members);
}

void applyReport(GroupView &view, const MemberReport &report)
{
    MemberView *member = findMutable(view, report.member);
    if (member == nullptr || report.receivedAt < member->receivedAt) {
        return;
    }
    member->role = report.role;
    member->position = report.position;
    member->fencedTerm = std::max(report.fencedTerm, report.position.term);
    member->receivedAt = report.receivedAt;
    member->reportedAt = sentTimeOf(*member, report);
    member->connected = true;
    member->primarySilence = report.primarySilence;
    startSample(view, *member);
    finishSample(view, report.receivedAt);
}

void markDisconnected(GroupView &view, std::string_view member)
{
    MemberView *it = findMutable(view, member);
    if (it != nullptr) {
        it->connected = false;
    }
}

const MemberView *findMember(const GroupView &view, std::string_view name)
{
    const auto it = std::find_if(view.members.begin(), view.members.end(),
                                 [&](const MemberView &member) { return member.name == name; });
    return it == view.members.end() ? nullptr : &*it;
}

size_t majorityOf(const GroupView &view)
{
    return view.members.size() / 2 + 1;
}

uint64_t highestTerm(const GroupView &view)
{
    uint64_t highest = 0;
    for (const MemberView &it : view.members) {
        highest = std::max({highest, it.fencedTerm, it.position.term});
    }
    return highest;
}

const MemberView *primaryOf(const GroupView &view)
{
    const uint64_t term = highestTerm(view);
    for (const MemberView &it : view.members) {
        if (it.role == Role::Primary && it.position.term == term) {
            return &it;
        }
    }
    return nullptr;
}

bool isConfirmed(const GroupView &view, const LogPosition &position)
{
    const auto holds = [&](const MemberView &member) {
        return member.position.term == position.term &&
               member.position.position >= position.position;
    };
    const auto n = std::count_if(view.members.begin(), view.members.end(), holds);
    return static_cast<size_t>(n) >= majorityOf(view);
}

LogPosition confirmedPosition(const GroupView &view)
{
    const MemberView *primary = primaryOf(view);
    if (primary == nullptr) {
        return {};
    }
    std::vector<uint64_t> positions;
    for (const MemberView &it : view.members) {
        if (it.position.term == primary->position.term) {
            positions.push_back(it.position.position);
        }
    }
    if (positions.size() < majorityOf(view)) {
        return {};
    }
    std::sort(positions.begin(), positions.end(), std::greater<>());
    return {primary->position.term, positions[majorityOf(view) - 1]};
}

std::optional<LogPosition> positionForAge(const GroupView &view, Duration age, Instant now)
{
    if (view.history == nullptr) {
        return std::nullopt;
    }
    const Instant from = now - std::min(age, MaxAcceptedAge);
    const auto it =
        std::lower_bound(view.history->begin(), view.history->end(), from,
                         [](const FreshnessSample &sample, Instant at) { return sample.at < at; });
    return it == view.history->end() ? std::nullopt : std::optional(it->position);
}

bool canConfirm(const GroupView &view, Instant now)
{
    const MemberView *primary = primaryOf(view);
    if (primary == nullptr) {
        return false;
    }
    const auto isKeepingUp = [&](const MemberView &member) {
        return member.connected && now - member.reportedAt < MaxReportAge &&
               member.position.term == primary->position.term &&
               member.position.position + MaxReplicaLagEntries >= primary->position.position;
    };
    const auto n = std::count_if(view.members.begin(), view.members.end(), isKeepingUp);
    return static_cast<size_t>(n) >= majorityOf(view);
}

} // namespace gentianplank
