// Private state of RateExchange, shared by its sources: rate_exchange.cc (admission and requests to
// owners) and rate_exchange_owner.cc (this VM's own shares).
#pragma once

#include "gentianplank/node/traffic/rate_asks.h"
#include "gentianplank/node/traffic/rate_exchange.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace gentianplank {

// How long an operation waits for tokens of other VMs. Exceeds the round trip to another region.
inline constexpr Duration MaxAdmissionWait = std::chrono::milliseconds(110);
// An owner names no time beyond this for its next token.
inline constexpr Duration MaxNextToken = std::chrono::seconds(1);

struct WaitingOperation
{
    Instant since{};
    RateExchange::AdmissionHandler done;
};

// A request of another VM that waits for this VM's next token.
struct HeldAsk
{
    std::string vm;
    TokenAsk ask;
    Instant since{};
    Instant until{};
    RateExchange::GrantHandler reply;
};

struct OrganisationState
{
    std::string name;
    SharedRate rate;
    OrganisationLimits limits;
    // The VMs that own shares, other than this one.
    std::vector<RateOwner> owners;
    std::deque<WaitingOperation> waiting;
    std::deque<HeldAsk> held;
    // When this VM may ask the next owner to balance their shares, and which.
    Instant balanceAt{};
    size_t nextToBalance = 0;
    // Refusals since the last log line about them.
    size_t refusals = 0;
    Instant refusalLoggedAt{};
};

struct RateExchange::State
{
    void requestTokens(OrganisationState &organisation, Instant now) const;
    static bool mayGetToken(OrganisationState &organisation, Instant now);
    static void serveWaiting(OrganisationState &organisation, Instant now);
    static void serveHeld(OrganisationState &organisation, Instant now);
    static void serve(OrganisationState &organisation, Instant now);
    void returnUnused(OrganisationState &organisation, Instant now) const;
    void balance(OrganisationState &organisation, Instant now) const;
    static void answer(OrganisationState &organisation, const HeldAsk &ask, double granted,
                       Instant now);
    static void logRefusal(OrganisationState &organisation, Instant now);
    void setOwners(OrganisationState &organisation, const std::vector<std::string> &names) const;

    Instant startedAt{};
    std::string ownName;
    Place ownPlace;
    ShareDelays delays;
    RateExchangeEnvironment environment;
    // The VMs of the newest view and their distances from this VM.
    std::vector<std::string> vms;
    RateOwnerCandidates candidates;
    std::map<std::string, Distance> distances;
    std::map<std::string, OrganisationState, std::less<>> organisations;
    bool hasView = false;
};

} // namespace gentianplank
