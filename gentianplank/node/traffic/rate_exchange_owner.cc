#include "gentianplank/node/traffic/rate_exchange_state.h"

#include <algorithm>

namespace gentianplank {

namespace {

// Between an owner's requests to balance its share.
constexpr Duration BalanceInterval = std::chrono::milliseconds(150);
// Requests of other VMs that wait for tokens, for one organisation.
constexpr size_t MaxHeldAsks = 200;

} // namespace

// Answers requests of other VMs in their order as far as there are tokens, and those that can't
// wait any longer.
void RateExchange::State::serveHeld(OrganisationState &organisation, Instant now)
{
    bool isEmpty = false;
    for (auto it = organisation.held.begin(); it != organisation.held.end();) {
        const double granted =
            isEmpty ? 0 : withdrawWholeTokens(organisation.rate, it->vm, it->ask, now);
        isEmpty = granted < 1;
        if (isEmpty && now < it->until) {
            ++it;
            continue;
        }
        const HeldAsk ask = std::move(*it);
        it = organisation.held.erase(it);
        answer(organisation, ask, granted, now);
    }
}

void RateExchange::State::answer(OrganisationState &organisation, const HeldAsk &ask,
                                 double granted, Instant now)
{
    peer::v1::RateGrant grant;
    grant.set_organisation(organisation.name);
    grant.set_tokens(granted);
    grant.set_available(static_cast<uint32_t>(std::max(0.0, organisation.rate.tokens)));
    if (granted < ask.ask.needed) {
        const auto ahead = static_cast<double>(organisation.held.size());
        const Duration next =
            std::min<Duration>(timeToTokens(organisation.rate, ahead + 1, now), MaxNextToken);
        grant.set_next_ms(static_cast<uint32_t>(toMilliseconds(next)) + 1);
        grant.set_demand(static_cast<uint32_t>(knownDemand(organisation.rate, now)));
    }
    if (!ask.reply(grant)) {
        depositReturnedTokens(organisation.rate, granted, now);
    }
}

// Returns tokens that this VM does not need to the owner that it heard from last.
void RateExchange::State::returnUnused(OrganisationState &organisation, Instant now) const
{
    const double unused = unusedTokens(organisation.rate, now);
    if (unused <= 0) {
        return;
    }
    const RateOwner *newest = nullptr;
    for (const RateOwner &it : organisation.owners) {
        if (it.available && !it.isSilent && environment.isReachable(it.vm) &&
            (newest == nullptr || it.answeredAt > newest->answeredAt)) {
            newest = &it;
        }
    }
    if (newest == nullptr) {
        return;
    }
    peer::v1::Frame frame;
    frame.mutable_rate_grant()->set_organisation(organisation.name);
    frame.mutable_rate_grant()->set_tokens(unused);
    if (environment.send(newest->vm, frame)) {
        organisation.rate.tokens -= unused;
    }
}

// Asks the other owners in turn for tokens while this VM's share is low.
void RateExchange::State::balance(OrganisationState &organisation, Instant now) const
{
    if (organisation.owners.empty() || now < organisation.balanceAt) {
        return;
    }
    const double lacking = tokensToBalance(organisation.rate, now);
    if (lacking < 1) {
        return;
    }
    const RateOwner &owner =
        organisation.owners[organisation.nextToBalance++ % organisation.owners.size()];
    organisation.balanceAt = now + BalanceInterval;
    if (owner.isSilent || !environment.isReachable(owner.vm)) {
        return;
    }
    peer::v1::Frame frame;
    frame.mutable_rate_ask()->set_organisation(organisation.name);
    frame.mutable_rate_ask()->set_tokens(lacking);
    frame.mutable_rate_ask()->set_needed(0);
    frame.mutable_rate_ask()->set_balance(true);
    environment.send(owner.vm, frame);
}

void RateExchange::handleAsk(const std::string &vm, const peer::v1::RateAsk &ask,
                             const GrantHandler &reply)
{
    const Instant now = m_state->environment.now();
    const auto it = m_state->organisations.find(ask.organisation());
    if (it == m_state->organisations.end()) {
        peer::v1::RateGrant grant;
        grant.set_organisation(ask.organisation());
        reply(grant);
        return;
    }
    OrganisationState &state = it->second;
    if (!ask.has_needed()) {
        // The VM runs an older version, which accepts parts of tokens.
        peer::v1::RateGrant grant;
        grant.set_organisation(ask.organisation());
        grant.set_tokens(withdrawTokens(state.rate, vm, ask.tokens(), ask.demand(), now));
        if (!reply(grant)) {
            depositReturnedTokens(state.rate, grant.tokens(), now);
        }
        return;
    }
    if (ask.balance()) {
        peer::v1::RateGrant grant;
        grant.set_organisation(ask.organisation());
        grant.set_tokens(withdrawToBalance(state.rate, ask.tokens(), now));
        grant.set_balance(true);
        if (!reply(grant)) {
            depositReturnedTokens(state.rate, grant.tokens(), now);
        }
        return;
    }
    State::serve(state, now);
    const auto needed = static_cast<double>(ask.needed());
    const Duration hold =
        std::min<Duration>(std::chrono::milliseconds(ask.hold_ms()), MaxAdmissionWait);
    const HeldAsk request{vm, {needed, ask.tokens(), ask.demand()}, now, now + hold, reply};
    const double granted = withdrawWholeTokens(state.rate, vm, request.ask, now);
    const auto ahead = static_cast<double>(state.held.size());
    if (granted < 1 && needed >= 1 && state.held.size() < MaxHeldAsks &&
        timeToTokens(state.rate, ahead + 1, now) <= hold) {
        state.held.push_back(request);
        return;
    }
    State::answer(state, request, granted, now);
}

void RateExchange::handleReturn(const peer::v1::RateGrant &grant)
{
    const auto it = m_state->organisations.find(grant.organisation());
    if (it == m_state->organisations.end()) {
        return;
    }
    const Instant now = m_state->environment.now();
    depositReturnedTokens(it->second.rate, grant.tokens(), now);
    State::serve(it->second, now);
}

} // namespace gentianplank
