// Admits operations by their organisation's rate over all VMs, and moves parts of rates between
// VMs to where they are asked for.
//
//     exchange.admit("dredge-co", [](bool isAdmitted, Duration retryAfter) { ... });
#pragma once

#include "gentianplank/node/traffic/fleet_view.h"
#include "gentianplank/organisation/shared_rate.h"
#include "gentianplank/peer/proto/peer.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace gentianplank {

// What the exchange needs of the VM around it.
struct RateExchangeEnvironment
{
    std::function<bool(const std::string &vm)> isReachable;
    std::function<bool(const std::string &vm, const peer::v1::Frame &frame)> send;
};

// Not thread-safe.
class RateExchange
{
public:
    using AdmissionHandler = std::function<void(bool isAdmitted, Duration retryAfter)>;

    // A VM that was known before fills its parts from here on, though it learns them later.
    RateExchange(std::string ownName, Place ownPlace, const ShareDelays &delays,
                 RateExchangeEnvironment environment);
    ~RateExchange();

    // Takes the organisations' limits, and who owns parts of them.
    void update(const FleetView &view, Instant now);

    // Counts for parts that change from now on.
    void setDelays(const ShareDelays &delays);

    // Calls `done` at once when there is a token, or when there is no hope of one; otherwise when
    // other VMs have answered, after at most a tenth of a second.
    void admit(const std::string &organisation, AdmissionHandler done);

    // Returns the token of an operation that no member ran.
    void refundToken(const std::string &organisation);

    // Returns how many tokens this VM gives up to `vm`, which needs `demand` a second.
    double grantTokens(const std::string &vm, const std::string &organisation, double asked,
                       double demand);

    // Takes tokens that `vm` gave up.
    void acceptTokens(const std::string &vm, const std::string &organisation, double tokens);

    // Answers those who have waited long enough. Call it about every 50 ms.
    void tick();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
