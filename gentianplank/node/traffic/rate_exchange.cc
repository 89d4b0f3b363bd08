#include "gentianplank/node/traffic/rate_exchange.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/base/rendezvous.h"

#include <algorithm>
#include <deque>

namespace gentianplank {

namespace {

// Owners of one organisation's rate. Their number is bounded, so that asking does not grow with
// the fleet, and large enough that the loss of a few leaves most of the rate.
constexpr size_t MostOwners = 8;
// A small rate has fewer, so that each part's burst is some tokens and not a piece of one.
constexpr double LeastBurstOfPart = 5;
constexpr size_t LeastOwners = 2;
// In a fleet of more VMs than this, owners are chosen among a few of each region, its homes, so
// that a VM keeps links to those only and they are open when an operation needs a token. Many
// owners change when a fleet grows past it.
constexpr size_t SmallFleet = 16;
// A region has this many homes, or one for so many VMs if that is more.
constexpr size_t LeastHomes = 8;
constexpr size_t VmsPerHome = 16;
constexpr char HomesKey[] = "rates";
// An operation waits this long for other VMs' tokens: more than the way to another region and back.
constexpr Duration LongestWait = std::chrono::milliseconds(110);
// An ask without an answer is forgotten after this long.
constexpr Duration AskTimeout = std::chrono::milliseconds(300);
// Asking again where there was nothing.
constexpr Duration EmptyPause = std::chrono::milliseconds(250);
// After a refusal, all owners are told of the demand, so that each divides its part fairly.
constexpr Duration ContestedFor = std::chrono::seconds(2);
constexpr Duration ShortestHint = std::chrono::milliseconds(100);
constexpr Duration LongestHint = std::chrono::seconds(1);
constexpr size_t MostWaiting = 200;

struct Ask
{
    Instant askedAt{};
    bool isOutstanding = false;
    Instant emptyUntil{};
};

struct WaitingOperation
{
    Instant since{};
    RateExchange::AdmissionHandler done;
};

struct OrganisationState
{
    SharedRate rate;
    OrganisationLimits limits;
    std::vector<std::string> owners;
    std::map<std::string, Ask> asks;
    std::deque<WaitingOperation> waiting;
    Instant refusedAt{};
};

// VMs that may own parts of rates, by region; one list for all regions in a small fleet.
using Homes = std::vector<std::vector<std::string>>;

Homes homesOf(std::span<const VmRecord> vms)
{
    std::map<std::string, std::vector<std::string>> byRegion;
    for (const VmRecord &it : vms) {
        byRegion[vms.size() > SmallFleet ? it.place.region : ""].push_back(it.name);
    }
    Homes homes;
    for (const auto &[region, names] : byRegion) {
        homes.push_back(
            rankByRendezvous(HomesKey, names, std::max(LeastHomes, names.size() / VmsPerHome)));
    }
    return homes;
}

// The owners of a rate: as many in each region, and at least one.
std::vector<std::string> ownersOf(const std::string &key, const Homes &homes, size_t wanted)
{
    std::vector<std::string> owners;
    const size_t each = std::max<size_t>(1, wanted / std::max<size_t>(1, homes.size()));
    for (const auto &names : homes) {
        const auto chosen = rankByRendezvous(key, names, each);
        owners.insert(owners.end(), chosen.begin(), chosen.end());
    }
    return owners;
}

} // namespace

struct RateExchange::State
{
    void askOthers(const std::string &name, OrganisationState &organisation, Instant now);
    static bool hasOutstanding(const OrganisationState &organisation, Instant now);
    void serveWaiting(OrganisationState &organisation, Instant now);
    static Duration hint(const OrganisationState &organisation);

    Instant startedAt = steadyNow();
    std::string ownName;
    Place ownPlace;
    ShareDelays delays;
    RateExchangeEnvironment environment;
    // The VMs of the last view, and how far they are.
    std::vector<std::string> vms;
    Homes homes;
    std::map<std::string, Distance> distances;
    std::map<std::string, OrganisationState, std::less<>> organisations;
    bool hasView = false;
};

// Asks owners for what is wanted, one after the other, the near ones first. While operations are
// refused, all owners are asked, so that each knows the demand and divides its part fairly.
void RateExchange::State::askOthers(const std::string &name, OrganisationState &organisation,
                                    Instant now)
{
    const double wanted = tokensWanted(organisation.rate, organisation.waiting.size(), now);
    if (wanted <= 0) {
        return;
    }
    std::vector<std::string> chosen;
    for (const std::string &vm : organisation.owners) {
        const Ask &ask = organisation.asks[vm];
        const bool isOutstanding = ask.isOutstanding && now - ask.askedAt < AskTimeout;
        if (vm != ownName && !isOutstanding && now >= ask.emptyUntil &&
            environment.isReachable(vm)) {
            chosen.push_back(vm);
        }
    }
    std::stable_sort(chosen.begin(), chosen.end(),
                     [this](const auto &a, const auto &b) { return distances[a] < distances[b]; });
    const bool isContested = now - organisation.refusedAt < ContestedFor;
    if (!isContested) {
        const size_t most = hasOutstanding(organisation, now) ? 0 : 1;
        chosen.resize(std::min(chosen.size(), most));
    }
    for (const std::string &vm : chosen) {
        peer::v1::Frame frame;
        frame.mutable_rate_ask()->set_organisation(name);
        frame.mutable_rate_ask()->set_tokens(
            isContested ? wanted / static_cast<double>(chosen.size()) : wanted);
        frame.mutable_rate_ask()->set_demand(organisation.rate.demand);
        if (environment.send(vm, frame)) {
            organisation.asks[vm].askedAt = now;
            organisation.asks[vm].isOutstanding = true;
        }
    }
}

bool RateExchange::State::hasOutstanding(const OrganisationState &organisation, Instant now)
{
    return std::any_of(organisation.asks.begin(), organisation.asks.end(), [&](const auto &it) {
        return it.second.isOutstanding && now - it.second.askedAt < AskTimeout;
    });
}

Duration RateExchange::State::hint(const OrganisationState &organisation)
{
    const double perSecond = std::max(organisation.limits.perSecond, 0.1);
    const double backlog = std::max(1.0, organisation.rate.demand - perSecond);
    const auto wait =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(backlog / perSecond));
    return std::clamp(wait, ShortestHint, LongestHint);
}

void RateExchange::State::serveWaiting(OrganisationState &organisation, Instant now)
{
    while (!organisation.waiting.empty()) {
        const bool isLate = now - organisation.waiting.front().since > LongestWait ||
                            !hasOutstanding(organisation, now);
        // The demand was counted when the operation came.
        const double demand = organisation.rate.demand;
        const bool hasToken = tryTakeToken(organisation.rate, now);
        organisation.rate.demand = demand;
        if (!hasToken && !isLate) {
            return;
        }
        const auto done = std::move(organisation.waiting.front().done);
        organisation.waiting.pop_front();
        organisation.refusedAt = hasToken ? organisation.refusedAt : now;
        done(hasToken, hasToken ? Duration::zero() : hint(organisation));
    }
}

RateExchange::RateExchange(std::string ownName, Place ownPlace, const ShareDelays &delays,
                           RateExchangeEnvironment environment)
    : m_state(std::make_unique<State>())
{
    m_state->delays = delays;
    m_state->ownName = std::move(ownName);
    m_state->ownPlace = std::move(ownPlace);
    m_state->environment = std::move(environment);
}

RateExchange::~RateExchange() = default;

void RateExchange::update(const FleetView &view, Instant now)
{
    if (!view.routing || view.vms.empty()) {
        return;
    }
    std::vector<std::string> names;
    names.reserve(view.vms.size());
    for (const VmRecord &it : view.vms) {
        names.push_back(it.name);
    }
    const bool areOtherVms = names != m_state->vms;
    if (areOtherVms) {
        m_state->vms = std::move(names);
        m_state->homes = homesOf(view.vms);
        m_state->distances.clear();
        for (const VmRecord &it : view.vms) {
            m_state->distances[it.name] = distanceBetween(it.place, m_state->ownPlace);
        }
    }
    ShareDelays firstDelays = m_state->delays;
    if (view.wasRegisteredBeforeStart) {
        firstDelays.growth = Duration::zero();
    }
    std::erase_if(m_state->organisations, [&](const auto &it) {
        return it.second.waiting.empty() && view.routing->organisations.count(it.first) == 0;
    });
    for (const auto &[name, limits] : view.routing->organisations) {
        const bool isNew = m_state->organisations.count(name) == 0;
        OrganisationState &organisation = m_state->organisations[name];
        const bool isOther = isNew || organisation.limits.perSecond != limits.perSecond ||
                             organisation.limits.burst != limits.burst;
        // Ranking all VMs for each organisation is the costly part of a change of the view.
        if (!isOther && !areOtherVms) {
            continue;
        }
        organisation.limits = limits;
        const auto wanted = static_cast<size_t>(limits.burst / LeastBurstOfPart);
        const size_t owners = std::clamp(wanted, LeastOwners, MostOwners);
        organisation.owners = ownersOf("rate/" + name, m_state->homes, owners);
        const bool isOwner = std::find(organisation.owners.begin(), organisation.owners.end(),
                                       m_state->ownName) != organisation.owners.end();
        const auto n = static_cast<double>(organisation.owners.size());
        const RatePart part =
            isOwner ? RatePart{limits.perSecond / n, limits.burst / n} : RatePart{};
        const bool isFirst = isNew && !m_state->hasView;
        // Nobody else uses this VM's part while its process runs.
        const bool isOwnAlready = isFirst && view.wasRegisteredBeforeStart;
        setPart(organisation.rate, part, isOwnAlready ? m_state->startedAt : now,
                isFirst ? firstDelays : m_state->delays);
        if (isOther) {
            logEvent("rate.limit", {{"organisation", name},
                                    {"revision", view.routing->revision},
                                    {"per_second", static_cast<int64_t>(limits.perSecond)},
                                    {"burst", static_cast<int64_t>(limits.burst)},
                                    {"owners", organisation.owners.size()},
                                    {"is_owner", isOwner}});
        }
    }
    m_state->hasView = true;
}

void RateExchange::setDelays(const ShareDelays &delays)
{
    m_state->delays = delays;
}

void RateExchange::admit(const std::string &organisation, AdmissionHandler done)
{
    const Instant now = steadyNow();
    const auto it = m_state->organisations.find(organisation);
    if (it == m_state->organisations.end()) {
        done(false, LongestHint);
        return;
    }
    OrganisationState &state = it->second;
    if (state.waiting.empty() && tryTakeToken(state.rate, now)) {
        m_state->askOthers(organisation, state, now);
        done(true, Duration::zero());
        return;
    }
    if (state.waiting.size() >= MostWaiting) {
        state.refusedAt = now;
        done(false, State::hint(state));
        return;
    }
    state.waiting.push_back({now, std::move(done)});
    m_state->askOthers(organisation, state, now);
    m_state->serveWaiting(state, now);
}

void RateExchange::refundToken(const std::string &organisation)
{
    const auto it = m_state->organisations.find(organisation);
    if (it != m_state->organisations.end()) {
        receiveTokens(it->second.rate, 1, steadyNow());
    }
}

double RateExchange::grantTokens(const std::string &vm, const std::string &organisation,
                                 double asked, double demand)
{
    const auto it = m_state->organisations.find(organisation);
    if (it == m_state->organisations.end()) {
        return 0;
    }
    return giveTokens(it->second.rate, vm, asked, demand, steadyNow());
}

void RateExchange::acceptTokens(const std::string &vm, const std::string &organisation,
                                double tokens)
{
    const auto it = m_state->organisations.find(organisation);
    if (it == m_state->organisations.end()) {
        return;
    }
    const Instant now = steadyNow();
    OrganisationState &state = it->second;
    receiveTokens(state.rate, tokens, now);
    Ask &ask = state.asks[vm];
    ask.isOutstanding = false;
    if (tokens < 1) {
        ask.emptyUntil = now + EmptyPause;
    }
    m_state->askOthers(organisation, state, now);
    if (!state.waiting.empty()) {
        m_state->serveWaiting(state, now);
    }
}

void RateExchange::tick()
{
    const Instant now = steadyNow();
    for (auto &[name, organisation] : m_state->organisations) {
        if (!organisation.waiting.empty()) {
            m_state->serveWaiting(organisation, now);
        }
    }
}

} // namespace gentianplank
