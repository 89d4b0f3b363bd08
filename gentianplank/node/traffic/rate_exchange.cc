#include "gentianplank/node/traffic/rate_exchange.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/base/rendezvous.h"

#include <algorithm>
#include <deque>

namespace gentianplank {

namespace {

// Maximum number of owners of one organisation's rate. Bounded so that the number of requests does
// not grow with the fleet, and large enough that most of the rate survives the loss of a few
// owners.
constexpr size_t MaxOwners = 8;
// A small rate has fewer owners, so that each share's burst is several tokens, not a fraction of
// one.
constexpr double MinBurstPerShare = 5;
constexpr size_t MinOwners = 2;
// In larger fleets, owners are chosen from a few candidates per region. A VM then needs links to
// these only, and they are open by the time an operation needs a token. Many owners change when a
// fleet grows past this size.
constexpr size_t SmallFleetVms = 16;
// A region has at least MinCandidatesPerRegion candidates, and one for every VmsPerCandidate VMs if
// that is more.
constexpr size_t MinCandidatesPerRegion = 8;
constexpr size_t VmsPerCandidate = 16;
constexpr char CandidateRankingKey[] = "rates";
// How long an operation waits for tokens of other VMs. Exceeds the round trip to another region.
constexpr Duration MaxAdmissionWait = std::chrono::milliseconds(110);
// A request without a reply is given up after this time.
constexpr Duration RequestTimeout = std::chrono::milliseconds(300);
// Delay before the next request to an owner that had no tokens.
constexpr Duration EmptyOwnerPause = std::chrono::milliseconds(250);
// For this time after a refusal, demand is reported to all owners, so that each divides its share
// fairly.
constexpr Duration ContentionPeriod = std::chrono::seconds(2);
constexpr Duration MinRetryHint = std::chrono::milliseconds(100);
constexpr Duration MaxRetryHint = std::chrono::seconds(1);
constexpr size_t MaxWaitingOperations = 200;

struct TokenRequest
{
    Instant requestedAt{};
    bool isPending = false;
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
    std::map<std::string, TokenRequest> requests;
    std::deque<WaitingOperation> waiting;
    Instant refusedAt{};
};

// VMs that may own shares of rates, by region. A small fleet has one list for all regions.
using OwnerCandidates = std::vector<std::vector<std::string>>;

OwnerCandidates ownerCandidatesOf(std::span<const VmRecord> vms)
{
    std::map<std::string, std::vector<std::string>> byRegion;
    for (const VmRecord &it : vms) {
        byRegion[vms.size() > SmallFleetVms ? it.place.region : ""].push_back(it.name);
    }
    OwnerCandidates candidates;
    for (const auto &[region, names] : byRegion) {
        candidates.push_back(
            rankByRendezvous(CandidateRankingKey, names,
                             std::max(MinCandidatesPerRegion, names.size() / VmsPerCandidate)));
    }
    return candidates;
}

// Returns the owners of a rate: the same number in each region, at least one.
std::vector<std::string> ownersOf(const std::string &key, const OwnerCandidates &candidates,
                                  size_t count)
{
    std::vector<std::string> owners;
    const size_t ownersPerRegion =
        std::max<size_t>(1, count / std::max<size_t>(1, candidates.size()));
    for (const auto &names : candidates) {
        const auto chosen = rankByRendezvous(key, names, ownersPerRegion);
        owners.insert(owners.end(), chosen.begin(), chosen.end());
    }
    return owners;
}

} // namespace

struct RateExchange::State
{
    void requestTokens(const std::string &name, OrganisationState &organisation, Instant now);
    static bool hasPendingRequest(const OrganisationState &organisation, Instant now);
    void serveWaiting(OrganisationState &organisation, Instant now);
    static Duration retryHint(const OrganisationState &organisation);

    Instant startedAt = steadyNow();
    std::string ownName;
    Place ownPlace;
    ShareDelays delays;
    RateExchangeEnvironment environment;
    // The VMs of the newest view and their distances from this VM.
    std::vector<std::string> vms;
    OwnerCandidates candidates;
    std::map<std::string, Distance> distances;
    std::map<std::string, OrganisationState, std::less<>> organisations;
    bool hasView = false;
};

// Requests the missing tokens from one owner at a time, the nearest first. While operations are
// refused, requests them from all owners, so that each knows the demand and divides its share
// fairly.
void RateExchange::State::requestTokens(const std::string &name, OrganisationState &organisation,
                                        Instant now)
{
    const double missing = tokensToRequest(organisation.rate, organisation.waiting.size(), now);
    if (missing <= 0) {
        return;
    }
    std::vector<std::string> chosen;
    for (const std::string &vm : organisation.owners) {
        const TokenRequest &request = organisation.requests[vm];
        const bool isPending = request.isPending && now - request.requestedAt < RequestTimeout;
        if (vm != ownName && !isPending && now >= request.emptyUntil &&
            environment.isReachable(vm)) {
            chosen.push_back(vm);
        }
    }
    std::stable_sort(chosen.begin(), chosen.end(),
                     [this](const auto &a, const auto &b) { return distances[a] < distances[b]; });
    const bool isContested = now - organisation.refusedAt < ContentionPeriod;
    if (!isContested) {
        const size_t maxRequests = hasPendingRequest(organisation, now) ? 0 : 1;
        chosen.resize(std::min(chosen.size(), maxRequests));
    }
    for (const std::string &vm : chosen) {
        peer::v1::Frame frame;
        frame.mutable_rate_ask()->set_organisation(name);
        frame.mutable_rate_ask()->set_tokens(
            isContested ? missing / static_cast<double>(chosen.size()) : missing);
        frame.mutable_rate_ask()->set_demand(organisation.rate.demand);
        if (environment.send(vm, frame)) {
            organisation.requests[vm].requestedAt = now;
            organisation.requests[vm].isPending = true;
        }
    }
}

bool RateExchange::State::hasPendingRequest(const OrganisationState &organisation, Instant now)
{
    return std::any_of(
        organisation.requests.begin(), organisation.requests.end(), [&](const auto &it) {
            return it.second.isPending && now - it.second.requestedAt < RequestTimeout;
        });
}

Duration RateExchange::State::retryHint(const OrganisationState &organisation)
{
    const double perSecond = std::max(organisation.limits.perSecond, 0.1);
    const double backlog = std::max(1.0, organisation.rate.demand - perSecond);
    const auto wait =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(backlog / perSecond));
    return std::clamp(wait, MinRetryHint, MaxRetryHint);
}

void RateExchange::State::serveWaiting(OrganisationState &organisation, Instant now)
{
    while (!organisation.waiting.empty()) {
        const bool isLate = now - organisation.waiting.front().since > MaxAdmissionWait ||
                            !hasPendingRequest(organisation, now);
        // The demand was counted when the operation arrived.
        const double demand = organisation.rate.demand;
        const bool hasToken = tryTakeToken(organisation.rate, now);
        organisation.rate.demand = demand;
        if (!hasToken && !isLate) {
            return;
        }
        const auto done = std::move(organisation.waiting.front().done);
        organisation.waiting.pop_front();
        organisation.refusedAt = hasToken ? organisation.refusedAt : now;
        done(hasToken, hasToken ? Duration::zero() : retryHint(organisation));
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
    const bool vmsChanged = names != m_state->vms;
    if (vmsChanged) {
        m_state->vms = std::move(names);
        m_state->candidates = ownerCandidatesOf(view.vms);
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
        const bool limitsChanged = isNew || organisation.limits.perSecond != limits.perSecond ||
                                   organisation.limits.burst != limits.burst;
        // Ranking all VMs for each organisation is the expensive part of applying a view.
        if (!limitsChanged && !vmsChanged) {
            continue;
        }
        organisation.limits = limits;
        const auto maxShares = static_cast<size_t>(limits.burst / MinBurstPerShare);
        const size_t ownerCount = std::clamp(maxShares, MinOwners, MaxOwners);
        organisation.owners = ownersOf("rate/" + name, m_state->candidates, ownerCount);
        const bool isOwner = std::find(organisation.owners.begin(), organisation.owners.end(),
                                       m_state->ownName) != organisation.owners.end();
        const auto n = static_cast<double>(organisation.owners.size());
        const RateShare share =
            isOwner ? RateShare{limits.perSecond / n, limits.burst / n} : RateShare{};
        const bool isInFirstView = isNew && !m_state->hasView;
        // No other VM uses this VM's share while its process runs.
        const bool isShareUnused = isInFirstView && view.wasRegisteredBeforeStart;
        setShare(organisation.rate, share, isShareUnused ? m_state->startedAt : now,
                 isInFirstView ? firstDelays : m_state->delays);
        if (limitsChanged) {
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
        done(false, MaxRetryHint);
        return;
    }
    OrganisationState &state = it->second;
    if (state.waiting.empty() && tryTakeToken(state.rate, now)) {
        m_state->requestTokens(organisation, state, now);
        done(true, Duration::zero());
        return;
    }
    if (state.waiting.size() >= MaxWaitingOperations) {
        state.refusedAt = now;
        done(false, State::retryHint(state));
        return;
    }
    state.waiting.push_back({now, std::move(done)});
    m_state->requestTokens(organisation, state, now);
    m_state->serveWaiting(state, now);
}

void RateExchange::refundToken(const std::string &organisation)
{
    const auto it = m_state->organisations.find(organisation);
    if (it != m_state->organisations.end()) {
        depositTokens(it->second.rate, 1, steadyNow());
    }
}

double RateExchange::grantTokens(const std::string &vm, const std::string &organisation,
                                 double requested, double demand)
{
    const auto it = m_state->organisations.find(organisation);
    if (it == m_state->organisations.end()) {
        return 0;
    }
    return withdrawTokens(it->second.rate, vm, requested, demand, steadyNow());
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
    depositTokens(state.rate, tokens, now);
    TokenRequest &request = state.requests[vm];
    request.isPending = false;
    if (tokens < 1) {
        request.emptyUntil = now + EmptyOwnerPause;
    }
    m_state->requestTokens(organisation, state, now);
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
