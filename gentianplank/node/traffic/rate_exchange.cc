#include "gentianplank/node/traffic/rate_exchange.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/base/rendezvous.h"
#include "gentianplank/node/traffic/rate_exchange_state.h"
#include "gentianplank/organisation/retry_spread.h"

#include <algorithm>
#include <utility>

namespace gentianplank {

namespace {

// Between two log lines about refusals of one organisation.
constexpr Duration RefusalLogInterval = std::chrono::seconds(1);
// Before an owner asks others to balance their shares again, after none of them had more.
constexpr Duration BalancePause = std::chrono::milliseconds(1000);
constexpr size_t MaxWaitingOperations = 200;

} // namespace

void RateExchange::State::requestTokens(OrganisationState &organisation, Instant now) const
{
    const TokenAsk need = tokensToRequest(organisation.rate, organisation.waiting.size(), now);
    if (need.wanted <= 0) {
        return;
    }
    for (RateOwner &it : organisation.owners) {
        it.isReachable = environment.isReachable(it.vm);
    }
    const Duration remaining = organisation.waiting.empty()
                                   ? Duration::zero()
                                   : organisation.waiting.front().since + MaxAdmissionWait - now;
    for (const PlannedAsk &it : planAsks(organisation.owners, need, remaining, now)) {
        RateOwner &owner = organisation.owners[it.owner];
        peer::v1::Frame frame;
        peer::v1::RateAsk *ask = frame.mutable_rate_ask();
        ask->set_organisation(organisation.name);
        ask->set_tokens(it.wanted);
        ask->set_demand(need.demand);
        ask->set_needed(static_cast<uint32_t>(it.needed));
        ask->set_hold_ms(static_cast<uint32_t>(toMilliseconds(it.hold)));
        if (environment.send(owner.vm, frame)) {
            recordAsk(owner, it, now);
        }
    }
}

// Whether a waiting operation may still get a token in time.
bool RateExchange::State::mayGetToken(OrganisationState &organisation, Instant now)
{
    const Duration waited = now - organisation.waiting.front().since;
    if (waited > MaxAdmissionWait) {
        return false;
    }
    return std::any_of(organisation.owners.begin(), organisation.owners.end(),
                       [&](const RateOwner &it) { return mayStillAnswer(it, now); }) ||
           timeToTokens(organisation.rate, 1, now) <= MaxAdmissionWait - waited;
}

void RateExchange::State::serveWaiting(OrganisationState &organisation, Instant now)
{
    while (!organisation.waiting.empty()) {
        // The demand was counted when the operation arrived.
        const double demand = organisation.rate.demand;
        const double lastingDemand = organisation.rate.lastingDemand;
        const bool hasToken = tryTakeToken(organisation.rate, now);
        organisation.rate.demand = demand;
        organisation.rate.lastingDemand = lastingDemand;
        if (!hasToken && mayGetToken(organisation, now)) {
            return;
        }
        const auto done = std::move(organisation.waiting.front().done);
        organisation.waiting.pop_front();
        if (!hasToken) {
            logRefusal(organisation, now);
        }
        done(hasToken);
    }
}

// Divides the tokens at hand between the operations of this VM and the requests of others, by
// which of them has waited longer.
void RateExchange::State::serve(OrganisationState &organisation, Instant now)
{
    const bool isHeldFirst = !organisation.held.empty() &&
                             (organisation.waiting.empty() ||
                              organisation.held.front().since < organisation.waiting.front().since);
    if (isHeldFirst) {
        serveHeld(organisation, now);
    }
    if (!organisation.waiting.empty()) {
        serveWaiting(organisation, now);
    }
    if (!isHeldFirst && !organisation.held.empty()) {
        serveHeld(organisation, now);
    }
}

// Logs what is known of the owners, once a second for each organisation.
void RateExchange::State::logRefusal(OrganisationState &organisation, Instant now)
{
    ++organisation.refusals;
    if (now - organisation.refusalLoggedAt < RefusalLogInterval) {
        return;
    }
    const OwnerSummary owners = summariseOwners(organisation.owners, now);
    logEvent("rate.exhausted", {{"organisation", organisation.name},
                                {"refused", std::exchange(organisation.refusals, 0)},
                                {"per_second", static_cast<int64_t>(organisation.limits.perSecond)},
                                {"demand_here", static_cast<int64_t>(organisation.rate.demand)},
                                {"demand_known", static_cast<int64_t>(owners.demand)},
                                {"other_owners", organisation.owners.size()},
                                {"unreachable", owners.unreachable},
                                {"silent", owners.silent},
                                {"empty", owners.empty}});
    organisation.refusalLoggedAt = now;
}

void RateExchange::State::setOwners(OrganisationState &organisation,
                                    const std::vector<std::string> &names) const
{
    std::vector<RateOwner> owners;
    const auto n = static_cast<double>(names.size());
    // Each VM has its own order of the owners at one distance, which divides the load.
    for (const std::string &vm : rankByRendezvous(ownName, names)) {
        if (vm == ownName) {
            continue;
        }
        const auto known = std::find_if(organisation.owners.begin(), organisation.owners.end(),
                                        [&](const RateOwner &it) { return it.vm == vm; });
        RateOwner owner = known == organisation.owners.end() ? RateOwner{} : *known;
        owner.vm = vm;
        owner.distance = distances.at(vm);
        owner.perSecond = organisation.limits.perSecond / n;
        owner.burst = organisation.limits.burst / n;
        owners.push_back(std::move(owner));
    }
    organisation.owners = std::move(owners);
}

RateExchange::RateExchange(std::string ownName, Place ownPlace, const ShareDelays &delays,
                           RateExchangeEnvironment environment)
    : m_state(std::make_unique<State>())
{
    m_state->delays = delays;
    m_state->ownName = std::move(ownName);
    m_state->ownPlace = std::move(ownPlace);
    m_state->environment = std::move(environment);
    m_state->startedAt = m_state->environment.now();
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
        m_state->candidates = rateOwnerCandidates(view.vms);
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
        organisation.name = name;
        const auto owners = rateOwners(name, m_state->candidates, limits);
        m_state->setOwners(organisation, owners);
        const bool isOwner =
            std::find(owners.begin(), owners.end(), m_state->ownName) != owners.end();
        const auto n = static_cast<double>(owners.size());
        const RateShare share =
            isOwner ? RateShare{limits.perSecond / n, limits.burst / n} : RateShare{};
        const bool isInFirstView = isNew && !m_state->hasView;
        // No other VM uses this VM's share while its process runs.
        const bool isShareUnused = isInFirstView && view.wasRegisteredBeforeStart;
        setShare(organisation.rate, share, isShareUnused ? m_state->startedAt : now,
                 isInFirstView ? firstDelays : m_state->delays);
        if (isShareUnused && isOwner) {
            organisation.rate.tokens +=
                tokensAfterRestart({limits.perSecond, limits.burst}, owners.size());
        }
        if (limitsChanged) {
            logEvent("rate.limit", {{"organisation", name},
                                    {"revision", view.routing->revision},
                                    {"per_second", static_cast<int64_t>(limits.perSecond)},
                                    {"burst", static_cast<int64_t>(limits.burst)},
                                    {"owners", owners.size()},
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
    const Instant now = m_state->environment.now();
    const auto it = m_state->organisations.find(organisation);
    if (it == m_state->organisations.end()) {
        done(false);
        return;
    }
    OrganisationState &state = it->second;
    if (state.waiting.empty() && tryTakeToken(state.rate, now)) {
        m_state->requestTokens(state, now);
        done(true);
        return;
    }
    if (state.waiting.size() >= MaxWaitingOperations) {
        State::logRefusal(state, now);
        done(false);
        return;
    }
    state.waiting.push_back({now, std::move(done)});
    m_state->requestTokens(state, now);
    State::serve(state, now);
}

Duration RateExchange::retryDelay(const std::string &organisation, uint32_t priority,
                                  std::string_view requestId) const
{
    const auto it = m_state->organisations.find(organisation);
    if (it == m_state->organisations.end()) {
        return MaxRetryDelay;
    }
    const Instant now = m_state->environment.now();
    OrganisationState &state = it->second;
    const OwnerSummary owners = summariseOwners(state.owners, now);
    const Duration next = std::min(owners.nextToken, timeToTokens(state.rate, 1, now));
    return gentianplank::retryDelay({state.limits.perSecond,
                                     std::max(owners.demand, knownDemand(state.rate, now)),
                                     std::min<Duration>(next, MaxNextToken)},
                                    priority, requestId);
}

std::optional<RateStatus> RateExchange::status(const std::string &organisation, Instant now) const
{
    const auto it = m_state->organisations.find(organisation);
    if (it == m_state->organisations.end()) {
        return std::nullopt;
    }
    // A copy generates the tokens up to now.
    SharedRate rate = it->second.rate;
    tokensToRequest(rate, 0, now);
    return RateStatus{rate.tokens, rate.share.perSecond, it->second.owners.size(),
                      it->second.waiting.size()};
}

void RateExchange::refundToken(const std::string &organisation)
{
    const auto it = m_state->organisations.find(organisation);
    if (it != m_state->organisations.end()) {
        depositTokens(it->second.rate, 1, m_state->environment.now());
    }
}

void RateExchange::handleGrant(const std::string &vm, const peer::v1::RateGrant &grant)
{
    const auto it = m_state->organisations.find(grant.organisation());
    if (it == m_state->organisations.end()) {
        return;
    }
    const Instant now = m_state->environment.now();
    OrganisationState &state = it->second;
    if (grant.balance()) {
        depositReturnedTokens(state.rate, grant.tokens(), now);
        if (grant.tokens() < 1 && !state.owners.empty() &&
            state.nextToBalance % state.owners.size() == 0) {
            state.balanceAt = now + BalancePause;
        }
        State::serve(state, now);
        return;
    }
    depositTokens(state.rate, grant.tokens(), now);
    const auto owner = std::find_if(state.owners.begin(), state.owners.end(),
                                    [&](const RateOwner &known) { return known.vm == vm; });
    if (owner != state.owners.end()) {
        OwnerAnswer answer{grant.tokens(),
                           {},
                           std::chrono::milliseconds(grant.next_ms()),
                           static_cast<double>(grant.demand())};
        if (grant.has_available()) {
            answer.available = grant.available();
        }
        recordAnswer(*owner, answer, now);
    }
    m_state->requestTokens(state, now);
    State::serve(state, now);
}

void RateExchange::tick()
{
    const Instant now = m_state->environment.now();
    for (auto &[name, organisation] : m_state->organisations) {
        if (!organisation.waiting.empty()) {
            m_state->requestTokens(organisation, now);
        }
        if (!organisation.waiting.empty() || !organisation.held.empty()) {
            State::serve(organisation, now);
        }
        m_state->returnUnused(organisation, now);
        m_state->balance(organisation, now);
    }
}

} // namespace gentianplank
