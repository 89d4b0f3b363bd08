// Authorises callers' requests at an entry VM: checks the VM's membership lease, the caller's key,
// the route and the organisation's rate.
//
//     auto authorised = authoriser.authorise(key, route, now);
//     if (!authorised) { return toStatus(authorised.error()); }
#pragma once

#include "gentianplank/daemon/control/fleet_state.h"
#include "gentianplank/organisation/rate_limiter.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace gentianplank {

// A request that passed all checks.
struct AuthorisedRequest
{
    std::string organisation;
    std::string group;
    // The digest of the caller's key, which must stay granted to the organisation while the request
    // runs. Empty for a request without a key, on a route open to all.
    std::string keyDigest;
    // The revision of the configuration that the request was checked by.
    uint64_t revision = 0;
};

// Thread-safe.
class RequestAuthoriser
{
public:
    // `fleetState` and `limiter` outlive this object. `onRefused`, when set, is called with each
    // refusal on the thread that calls authorise().
    RequestAuthoriser(FleetState &fleetState, RateLimiter &limiter,
                      std::function<void(const Refusal &)> onRefused = {});

    // Checks a new request. A refusal always has the outcome `NotRun`, as nothing has been sent to
    // a target yet. May block until the organisation's rate has a token, at most until the
    // deadline.
    tl::expected<AuthorisedRequest, Refusal> authorise(std::string_view key, std::string_view route,
                                                       Instant now,
                                                       Instant deadline = Instant::max()) const;

    // Whether an authorised request may continue: the VM holds its membership lease and the key is
    // still granted to the request's organisation.
    bool mayContinue(const AuthorisedRequest &request, Instant now) const;

    // Registers a request that may be idle or blocked. When it may no longer continue,
    // cancelUnauthorised() calls `cancel` on its own thread; `cancel` must not block. Destroying
    // the returned handle removes the registration, after which `cancel` isn't called.
    std::shared_ptr<void> watch(const AuthorisedRequest &request,
                                std::function<void()> cancel) const;

    // Cancels every watched request that may no longer continue.
    void cancelUnauthorised(Instant now) const;

private:
    struct WatchList;

    tl::expected<AuthorisedRequest, Refusal> check(std::string_view key, std::string_view route,
                                                   Instant now, Instant deadline) const;

    FleetState &m_fleetState;
    RateLimiter &m_limiter;
    std::function<void(const Refusal &)> m_onRefused;
    std::shared_ptr<WatchList> m_watchList;
};

} // namespace gentianplank
