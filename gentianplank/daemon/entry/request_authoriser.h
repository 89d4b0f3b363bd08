// What an entry VM checks before it takes a caller's request: standing, key, route and rate.
//
//     auto entered = entry.authorise(key, route, now);
//     if (!entered) { return toStatus(entered.error()); }
#pragma once

#include "gentianplank/daemon/control/fleet_boards.h"
#include "gentianplank/organisation/rate_limiter.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace gentianplank {

// A request that was let in.
struct AuthorisedRequest
{
    std::string organisation;
    std::string group;
    // Empty on a route open to all; otherwise the digest that must stay granted.
    std::string keyDigest;
};

// Thread-safe.
class RequestAuthoriser
{
public:
    // `onRefused`, when set, is called with each refusal, on the caller's thread.
    RequestAuthoriser(FleetBoards &boards, RateLimiter &limiter,
                      std::function<void(const Refusal &)> onRefused = {});

    // Checks a new request. Every refusal says "not run", and is true: nothing was sent. May block
    // for a token of the organisation's rate, at most until the deadline.
    tl::expected<AuthorisedRequest, Refusal> authorise(std::string_view key, std::string_view route,
                                                       Instant now,
                                                       Instant deadline = Instant::max()) const;

    // Whether a request that was let in may go on: the VM has standing and the key is granted.
    bool mayContinue(const AuthorisedRequest &request, Instant now) const;

    // Watches a request that may be idle or blocked: `cancel` runs, on the thread that calls
    // cancelUnauthorised(), when the request may not go on. It must not block. The watch ends with
    // the returned value, after which `cancel` doesn't run.
    std::shared_ptr<void> watch(const AuthorisedRequest &request,
                                std::function<void()> cancel) const;

    // Ends every watched request that may not go on.
    void cancelUnauthorised(Instant now) const;

private:
    struct WatchList;

    tl::expected<AuthorisedRequest, Refusal> check(std::string_view key, std::string_view route,
                                                   Instant now, Instant deadline) const;

    FleetBoards &m_boards;
    RateLimiter &m_limiter;
    std::function<void(const Refusal &)> m_onRefused;
    std::shared_ptr<WatchList> m_watchList;
};

} // namespace gentianplank
