// Admits operations within their organisation's rate over all VMs, and transfers tokens between VMs
// to where the demand is.
//
//     exchange.admit("dredge-co", [](bool isAdmitted, Duration retryAfter) { ... });
#pragma once

#include "gentianplank/node/traffic/fleet_view.h"
#include "gentianplank/organisation/shared_rate.h"
#include "gentianplank/peer/proto/peer.pb.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gentianplank {

// Connection of the exchange to other VMs, and its clock.
struct RateExchangeEnvironment
{
    std::function<bool(const std::string &vm)> isReachable;
    std::function<bool(const std::string &vm, const peer::v1::Frame &frame)> send;
    // Tests pass a simulated clock.
    std::function<Instant()> now = steadyNow;
};

// This VM's state of an organisation's rate.
struct RateStatus
{
    // Tokens that this VM may use at once, and that its share generates a second.
    double tokens = 0;
    double sharePerSecond = 0;
    // VMs that own shares of the rate, and operations that wait here for their tokens.
    size_t owners = 0;
    size_t waiting = 0;
};

// Not thread-safe.
class RateExchange
{
public:
    using AdmissionHandler = std::function<void(bool isAdmitted)>;
    // Sends the answer to a request for tokens. Returns false if it can't be sent any more.
    using GrantHandler = std::function<bool(const peer::v1::RateGrant &grant)>;

    // If the first view says that this VM was known before, its shares begin with a part of their
    // burst and fill from the time of construction, not only from the time of that view.
    RateExchange(std::string ownName, Place ownPlace, const ShareDelays &delays,
                 RateExchangeEnvironment environment);
    ~RateExchange();

    // Applies the organisations' limits and the owners of their rates.
    void update(const FleetView &view, Instant now);

    // Applies to shares that change from now on.
    void setDelays(const ShareDelays &delays);

    // Admits or refuses one operation. Calls `done` at once if there is a token, or if waiting
    // can't help since no request for tokens is pending or too many operations wait already.
    // Otherwise calls it when other VMs have replied, after about 100 ms at most.
    void admit(const std::string &organisation, AdmissionHandler done);

    // Returns when an operation that was refused should be tried again, by the demand of all VMs as
    // far as it is known here; see organisation/retry_spread.h.
    Duration retryDelay(const std::string &organisation, uint32_t priority,
                        std::string_view requestId) const;

    // Returns the state of the rate; nothing for an unknown organisation. Takes no token.
    std::optional<RateStatus> status(const std::string &organisation, Instant now) const;

    // Returns the token of an operation that no member executed.
    void refundToken(const std::string &organisation);

    // Answers a request of `vm` for tokens: removes them here and passes them to `reply`, at once
    // or when there is a token, as far as the request may be held. Tokens of an answer that can't
    // be sent are kept.
    void handleAsk(const std::string &vm, const peer::v1::RateAsk &ask, const GrantHandler &reply);

    // Adds tokens that `vm` transferred in answer to a request.
    void handleGrant(const std::string &vm, const peer::v1::RateGrant &grant);

    // Adds tokens of this VM's share that another VM returned.
    void handleReturn(const peer::v1::RateGrant &grant);

    // Admits or refuses operations that have waited long enough, and answers held requests.
    // Call about every 20 ms.
    void tick();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
