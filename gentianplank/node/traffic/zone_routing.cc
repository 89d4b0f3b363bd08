#include "gentianplank/node/traffic/zone_routing.h"

#include "gentianplank/base/event_log.h"

#include <algorithm>
#include <cmath>

namespace gentianplank {

namespace {

constexpr double BytesPerMegabit = 1e6 / 8;
// The link counts as used up when what was sent takes this long to transmit: shorter bursts pass.
constexpr Duration MaxLinkBacklog = std::chrono::milliseconds(100);
// Approximate size of a statement and its answer besides their texts.
constexpr size_t FrameBytes = 160;
// Changes of a share below this are not logged: at most about ten lines for a full move.
constexpr double LoggedShareChange = 0.2;

Duration plainCost(const ReadCost &cost)
{
    return cost.distance + cost.primary;
}

// All costs but those of the present load.
Duration costWithoutLoad(const ReadCost &cost)
{
    return total(cost) - cost.wait - cost.inFlight;
}

// Returns the members that shares may choose among, or none if a member with other costs precedes
// them.
std::vector<size_t> balancedMembers(std::span<const MemberAssessment> eligible)
{
    std::vector<size_t> balanced;
    Duration bestBalanced = Duration::max();
    Duration best = Duration::max();
    for (size_t i = 0; i < eligible.size(); ++i) {
        const ReadCost cost = readCost(eligible[i].candidate);
        best = std::min(best, costWithoutLoad(cost));
        if (costWithoutLoad(cost) == plainCost(cost)) {
            bestBalanced = std::min(bestBalanced, plainCost(cost));
            balanced.push_back(i);
        }
    }
    if (best < bestBalanced) {
        balanced.clear();
    }
    return balanced;
}

ZoneMember zoneMemberOf(const MemberAssessment &member, const SelectionContext &context)
{
    const ZoneContext &zones = *context.zones;
    const ReadCandidate &candidate = member.candidate;
    ZoneMember result;
    result.distance = candidate.distance;
    result.isPrimary = candidate.isPrimary;
    result.inFlight = candidate.inFlight;
    result.slots = candidate.slots;
    result.reportedWait = candidate.expectedWait;
    result.reportAge = candidate.reportAge.value_or(Duration::max());
    const Place *dispatcher = zones.placeOf(member.dispatcher);
    const Place &from = dispatcher == nullptr ? context.ownPlace : *dispatcher;
    const Distance first = distanceBetween(context.ownPlace, from);
    const Distance second = distanceBetween(from, context.view.members.at(candidate.id).place);
    result.distance = std::max(first, second);
    if (member.dispatcher != zones.vm) {
        result.path += pathTime(zones.paths, first);
    }
    if (second != Distance::SameZone) {
        result.path += pathTime(zones.paths, second);
    }
    return result;
}

std::vector<ZoneMember> zoneMembersOf(std::span<const MemberAssessment> members)
{
    std::vector<ZoneMember> result;
    for (const MemberAssessment &it : members) {
        if (it.zone) {
            result.push_back(*it.zone);
        }
    }
    return result;
}

} // namespace

void applyZoneBalance(std::span<MemberAssessment> eligible, const SelectionContext &context)
{
    const std::vector<size_t> balanced = balancedMembers(eligible);
    if (balanced.empty()) {
        return;
    }
    std::vector<ZoneMember> members;
    members.reserve(balanced.size());
    for (const size_t i : balanced) {
        eligible[i].zone = zoneMemberOf(eligible[i], context);
        members.push_back(*eligible[i].zone);
    }
    const ZoneChoice choice = chooseMember(context.zones->balance, members, context.zones->request);
    if (choice.member) {
        const auto chosen = eligible.begin() + static_cast<ptrdiff_t>(balanced[*choice.member]);
        std::rotate(eligible.begin(), chosen, chosen + 1);
    }
    eligible.front().zoneChoice = choice;
}

ZoneRouting::ZoneRouting(Place ownPlace, ZoneOptions options)
    : m_ownPlace(std::move(ownPlace))
    , m_options(std::move(options))
    , m_link(makeLinkBudget(m_options.regionLinkMbps * BytesPerMegabit, Instant{}))
{}

void ZoneRouting::applyView(const std::shared_ptr<const FleetView> &view, Instant now)
{
    if (view == m_view) {
        return;
    }
    m_view = view;
    m_places.clear();
    const auto vms = std::count_if(view->vms.begin(), view->vms.end(), [this](const VmRecord &it) {
        return it.place.region == m_ownPlace.region;
    });
    double mbps = m_options.regionLinkMbps / static_cast<double>(std::max<ptrdiff_t>(1, vms));
    if (m_options.vmLinkMbps > 0) {
        mbps = std::min(mbps, m_options.vmLinkMbps);
    }
    setRate(m_link, mbps * BytesPerMegabit);
    // A changed rate doesn't apply to what was sent before.
    m_link.freeAt = std::min(m_link.freeAt, now + MaxLinkBacklog);
    std::erase_if(m_groups, [&](const auto &it) {
        return view->membersOfGroup.find(it.first) == view->membersOfGroup.end();
    });
}

const Place *ZoneRouting::placeOf(const std::string &vm)
{
    const auto known = m_places.find(vm);
    if (known != m_places.end()) {
        return known->second;
    }
    const auto it = std::find_if(m_view->vms.begin(), m_view->vms.end(),
                                 [&](const VmRecord &record) { return record.name == vm; });
    return m_places[vm] = it == m_view->vms.end() ? nullptr : &it->place;
}

std::unique_ptr<ZoneContext> ZoneRouting::context(const std::shared_ptr<const FleetView> &view,
                                                  const std::string &group,
                                                  const ZoneRequest &request, Instant now)
{
    if (m_options.policy == ZonePolicy::Fixed) {
        return nullptr;
    }
    applyView(view, now);
    ZoneRequest limited = request;
    limited.isLinkExhausted = m_link.freeAt > now + MaxLinkBacklog;
    return std::make_unique<ZoneContext>(
        ZoneContext{m_groups[group].balance, m_paths, limited, m_options.vm,
                    [this](const std::string &vm) { return placeOf(vm); }});
}

void ZoneRouting::adjust(const std::string &group, std::span<const MemberAssessment> members,
                         Instant now)
{
    if (m_options.policy == ZonePolicy::Fixed || members.empty()) {
        return;
    }
    GroupState &state = m_groups[group];
    if (members.front().zoneChoice.isUrgent) {
        state.balance.urgentAt = now;
    }
    if (now - state.balance.adjustedAt < ShareInterval) {
        return;
    }
    const std::vector<ZoneMember> zoneMembers = zoneMembersOf(members);
    const bool isLinkExhausted = m_link.freeAt > now + MaxLinkBacklog;
    if (adjustShares(state.balance, zoneMembers, isLinkExhausted, now)) {
        logShares(group, state, zoneMembers);
    }
}

std::optional<ClassShares> ZoneRouting::shares(const std::string &group,
                                               std::span<const MemberAssessment> members) const
{
    const auto state = m_groups.find(group);
    if (members.empty() || state == m_groups.end()) {
        return std::nullopt;
    }
    const ZoneBalance &balance = state->second.balance;
    return effectiveShares(members.front().zoneChoice.isUrgent ? balance.urgentShares
                                                               : balance.shares,
                           zoneMembersOf(members));
}

void ZoneRouting::logShares(const std::string &group, GroupState &state,
                            std::span<const ZoneMember> members) const
{
    const ClassShares shares = effectiveShares(state.balance.shares, members);
    double change = 0;
    std::string text;
    for (size_t i = 0; i < MemberClassCount; ++i) {
        change = std::max(change, std::abs(shares[i] - state.loggedShares[i]));
        if (shares[i] > 0) {
            text += (text.empty() ? "" : ",") + std::string(toString(static_cast<MemberClass>(i))) +
                    ":" + std::to_string(std::lround(shares[i] * 100));
        }
    }
    if (change < LoggedShareChange) {
        return;
    }
    state.loggedShares = shares;
    Duration longest{0};
    for (const ZoneMember &it : members) {
        longest = std::max(longest, expectedTime(it));
    }
    logEvent(
        "zone.shares",
        {{"group", group}, {"percent", text}, {"longest_expected_ms", toMilliseconds(longest)}});
}

PathUse ZoneRouting::begin(const std::shared_ptr<const FleetView> &view, const std::string &vm,
                           const ForwardedStatement &statement, Instant now)
{
    applyView(view, now);
    PathUse use;
    use.sentAt = now;
    use.bytes = FrameBytes + statement.text.size();
    const Place *known = vm == m_options.vm ? &m_ownPlace : placeOf(vm);
    const Place &dispatcher = known == nullptr ? m_ownPlace : *known;
    use.distance = distanceBetween(m_ownPlace, dispatcher);
    if (known != nullptr && vm != m_options.vm) {
        use.toDispatcher = use.distance;
    }
    const auto member = view->members.find(statement.member);
    if (member != view->members.end()) {
        use.distance = std::max(use.distance, distanceBetween(dispatcher, member->second.place));
    }
    if (use.distance == Distance::OtherRegion) {
        recordSent(m_link, static_cast<double>(use.bytes), now);
    }
    return use;
}

void ZoneRouting::finish(PathUse &use, const StatementOutcome &outcome, Instant now)
{
    use.bytes += outcome.lines.size();
    if (use.distance == Distance::OtherRegion) {
        recordSent(m_link, static_cast<double>(outcome.lines.size()), now);
    }
    // A statement that wasn't executed may have waited for something else than a slot.
    if (use.toDispatcher && outcome.execution == StatementExecution::Answered) {
        const Duration elsewhere = now - use.sentAt - outcome.timeAtMember - outcome.expectedWait;
        recordPathTime(m_paths, *use.toDispatcher, std::max(Duration::zero(), elsewhere));
    }
}

} // namespace gentianplank
