#include "gentianplank/daemon/entry/entry.h"

#include "gentianplank/base/digest.h"

#include <list>
#include <mutex>

namespace gentianplank {

namespace {

constexpr Duration StandingHint = std::chrono::milliseconds(200);

tl::unexpected<Refusal> notRun(Reason reason, std::string_view message,
                               Duration retryAfter = Duration::zero())
{
    return tl::unexpected(refuse(reason, ExecutionOutcome::NotRun, message, retryAfter));
}

} // namespace

// The running requests that are watched.
struct Entry::Watches
{
    struct Watched
    {
        EnteredRequest request;
        std::function<void()> end;
    };

    std::mutex mutex;
    std::list<Watched> running;
};

Entry::Entry(FleetBoards &boards, RateLimiter &limiter,
             std::function<void(const Refusal &)> onRefused)
    : m_boards(boards)
    , m_limiter(limiter)
    , m_onRefused(std::move(onRefused))
    , m_watches(std::make_shared<Watches>())
{}

tl::expected<EnteredRequest, Refusal> Entry::enter(std::string_view key, std::string_view route,
                                                   Instant now, Instant deadline) const
{
    auto entered = check(key, route, now, deadline);
    if (!entered && m_onRefused) {
        m_onRefused(entered.error());
    }
    return entered;
}

tl::expected<EnteredRequest, Refusal> Entry::check(std::string_view key, std::string_view route,
                                                   Instant now, Instant deadline) const
{
    if (m_boards.leaving) {
        return notRun(Reason::ShuttingDown, "this VM is shutting down");
    }
    if (!m_boards.standing.holds(now)) {
        const bool joining = m_boards.state == VmState::Joining;
        return notRun(Reason::NoMembershipLease,
                      joining ? "this VM has not joined the fleet yet"
                              : "this VM is cut off from the fleet",
                      StandingHint);
    }
    const auto configuration = m_boards.configuration.get();
    const configuration::v1::Route *entry = configuration->route(route);
    EnteredRequest entered;
    if (!key.empty()) {
        const auto organisation = configuration->organisationOfKey(key);
        if (!organisation) {
            return notRun(Reason::KeyRefused, "the key is not granted");
        }
        entered.organisation = *organisation;
        entered.keyDigest = keyDigest(key);
    } else if (entry != nullptr && entry->open_to_all()) {
        entered.organisation = std::string(OpenOrganisation);
    } else {
        return notRun(Reason::KeyRefused, "the request has no key");
    }
    if (entry == nullptr || !configuration->mayUse(entered.organisation, *entry)) {
        return notRun(Reason::RouteRefused, "the organisation may not use this route");
    }
    entered.group = entry->group();
    if (auto refusal = m_limiter.enter(entered.organisation, deadline)) {
        return tl::unexpected(*refusal);
    }
    // The request may have waited for its rate.
    const Instant after = steadyNow();
    if (!m_boards.standing.holds(after)) {
        return notRun(Reason::NoMembershipLease, "this VM is cut off from the fleet", StandingHint);
    }
    if (!mayContinue(entered, after)) {
        return notRun(Reason::KeyRefused, "the key was withdrawn while the request waited");
    }
    return entered;
}

bool Entry::mayContinue(const EnteredRequest &request, Instant now) const
{
    if (!m_boards.standing.holds(now)) {
        return false;
    }
    return request.keyDigest.empty() || m_boards.configuration.get()->isGranted(request.keyDigest);
}

std::shared_ptr<void> Entry::watch(const EnteredRequest &request, std::function<void()> end) const
{
    const std::lock_guard lock(m_watches->mutex);
    const auto it = m_watches->running.insert(m_watches->running.end(), {request, std::move(end)});
    return {nullptr, [watches = m_watches, it](void *) {
                const std::lock_guard inner(watches->mutex);
                watches->running.erase(it);
            }};
}

void Entry::endWithdrawn(Instant now) const
{
    const std::lock_guard lock(m_watches->mutex);
    for (const Watches::Watched &it : m_watches->running) {
        if (!mayContinue(it.request, now)) {
            it.end();
        }
    }
}

} // namespace gentianplank
