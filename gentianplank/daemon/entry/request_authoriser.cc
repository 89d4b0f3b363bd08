#include "gentianplank/daemon/entry/request_authoriser.h"

#include "gentianplank/base/digest.h"

#include <list>
#include <mutex>

namespace gentianplank {

namespace {

// The retry delay suggested to callers while this VM holds no membership lease.
constexpr Duration LeaseRetryDelay = std::chrono::milliseconds(200);

tl::unexpected<Refusal> notRun(Reason reason, std::string_view message,
                               Duration retryAfter = Duration::zero())
{
    return tl::unexpected(refuse(reason, ExecutionOutcome::NotRun, message, retryAfter));
}

} // namespace

struct RequestAuthoriser::WatchList
{
    struct WatchedRequest
    {
        AuthorisedRequest request;
        std::function<void()> cancel;
    };

    std::mutex mutex;
    std::list<WatchedRequest> requests;
};

RequestAuthoriser::RequestAuthoriser(FleetState &fleetState, RateLimiter &limiter,
                                     std::function<void(const Refusal &)> onRefused)
    : m_fleetState(fleetState)
    , m_limiter(limiter)
    , m_onRefused(std::move(onRefused))
    , m_watchList(std::make_shared<WatchList>())
{}

tl::expected<AuthorisedRequest, Refusal> RequestAuthoriser::authorise(std::string_view key,
                                                                      std::string_view route,
                                                                      Instant now,
                                                                      Instant deadline) const
{
    auto authorised = check(key, route, now, deadline);
    if (!authorised && m_onRefused) {
        m_onRefused(authorised.error());
    }
    return authorised;
}

tl::expected<AuthorisedRequest, Refusal> RequestAuthoriser::check(std::string_view key,
                                                                  std::string_view route,
                                                                  Instant now,
                                                                  Instant deadline) const
{
    if (m_fleetState.leaving) {
        return notRun(Reason::ShuttingDown, "this VM is shutting down");
    }
    if (!m_fleetState.membershipLease.isValid(now)) {
        const bool joining = m_fleetState.state == VmState::Joining;
        return notRun(Reason::NoMembershipLease,
                      joining ? "this VM has not joined the fleet yet"
                              : "this VM has lost its membership lease",
                      LeaseRetryDelay);
    }
    const auto configuration = m_fleetState.configuration.get();
    const configuration::v1::Route *configuredRoute = configuration->route(route);
    AuthorisedRequest authorised;
    authorised.revision = configuration->revision();
    if (!key.empty()) {
        const auto organisation = configuration->organisationOfKey(key);
        if (!organisation) {
            return notRun(Reason::KeyRefused, "the key is not granted to any organisation");
        }
        authorised.organisation = *organisation;
        authorised.keyDigest = keyDigest(key);
    } else if (configuredRoute != nullptr && configuredRoute->open_to_all()) {
        authorised.organisation = std::string(OpenOrganisation);
    } else {
        return notRun(Reason::KeyRefused,
                      "the request has no key and the route is not open to all");
    }
    if (configuredRoute == nullptr ||
        !configuration->mayUse(authorised.organisation, *configuredRoute)) {
        return notRun(Reason::RouteRefused,
                      "the route does not exist or the organisation may not use it");
    }
    authorised.group = configuredRoute->group();
    if (auto refusal = m_limiter.acquire(authorised.organisation, deadline)) {
        return tl::unexpected(*refusal);
    }
    // The wait for the rate may have outlasted the membership lease or the key.
    const Instant after = steadyNow();
    if (!m_fleetState.membershipLease.isValid(after)) {
        return notRun(Reason::NoMembershipLease, "this VM has lost its membership lease",
                      LeaseRetryDelay);
    }
    if (!mayContinue(authorised, after)) {
        return notRun(Reason::KeyRefused,
                      "the key was withdrawn or moved to another organisation while the request "
                      "waited for its rate");
    }
    return authorised;
}

bool RequestAuthoriser::mayContinue(const AuthorisedRequest &request, Instant now) const
{
    if (!m_fleetState.membershipLease.isValid(now)) {
        return false;
    }
    return request.keyDigest.empty() ||
           m_fleetState.configuration.get()->isGranted(request.keyDigest, request.organisation);
}

std::shared_ptr<void> RequestAuthoriser::watch(const AuthorisedRequest &request,
                                               std::function<void()> cancel) const
{
    const std::lock_guard lock(m_watchList->mutex);
    const auto it =
        m_watchList->requests.insert(m_watchList->requests.end(), {request, std::move(cancel)});
    return {nullptr, [watchList = m_watchList, it](void *) {
                const std::lock_guard inner(watchList->mutex);
                watchList->requests.erase(it);
            }};
}

void RequestAuthoriser::cancelUnauthorised(Instant now) const
{
    const std::lock_guard lock(m_watchList->mutex);
    for (const WatchList::WatchedRequest &it : m_watchList->requests) {
        if (!mayContinue(it.request, now)) {
            it.cancel();
        }
    }
}

} // namespace gentianplank
