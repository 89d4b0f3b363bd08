#include "gentianplank/statement/dispatch_context.h"

#include <algorithm>

namespace gentianplank::internal {

namespace {

// A connection is closed if the member doesn't confirm within this time that it is idle.
constexpr Duration ResetTimeout = std::chrono::milliseconds(500);

// Returns the number of connections that this dispatcher may use at a member. The other half is
// left for its successor, so that a new dispatcher can connect at once.
size_t connectionLimit(const GroupView &view)
{
    return std::max<size_t>(1, view.connections / 2);
}

// Whether the statement may still run for its organisation: by this VM's configuration, or by that
// of the entry VM if it is later.
bool isAuthorised(const StatementRequest &request, const ConfigurationView &configuration)
{
    return request.keyDigest.empty() || configuration.revision() < request.revision ||
           configuration.isGranted(request.keyDigest, request.organisation);
}

} // namespace

tl::expected<AdmissionTicket, Refusal> DispatchContext::admit(const StatementRequest &request,
                                                              const GroupView &view,
                                                              const std::string &member,
                                                              Instant until) const
{
    auto ticket = parts.admission.acquireSlot(
        {view.group + "/" + member, request.organisation,
         parts.configuration()->weightOf(request.organisation), 1, until},
        view.slots);
    if (ticket && !isAuthorised(request, *parts.configuration())) {
        return tl::unexpected(refuse(Reason::KeyRefused, ExecutionOutcome::NotRun,
                                     "the key was withdrawn or moved to another organisation while "
                                     "the statement waited"));
    }
    return ticket;
}

tl::expected<ConnectionLease, MemberError>
DispatchContext::connectTo(const GroupView &view, const std::string &member, Instant deadline) const
{
    const MemberView *target = findMember(view, member);
    if (target == nullptr) {
        return tl::unexpected(MemberError{MemberFault::NotSent,
                                          target::v1::FAILURE_KIND_UNSPECIFIED,
                                          "the member is no longer in the group"});
    }
    return parts.pool.acquire(target->address, connectionLimit(view), deadline);
}

tl::expected<Done, MemberError> DispatchContext::callOnce(const GroupView &view,
                                                          const std::string &member,
                                                          const MemberRequest &request,
                                                          Instant until) const
{
    auto lease = connectTo(view, member, until);
    if (!lease) {
        return tl::unexpected(lease.error());
    }
    // A later term means that this primary can't confirm anything any more.
    lease->connection().abandonWhen([this, group = view.group, term = request.term()] {
        return highestTerm(*parts.groupViews.view(group)) > term;
    });
    auto done = lease->connection().call(request, until);
    lease->connection().abandonWhen({});
    if (done && done->idle()) {
        lease->markReusable();
    } else if (!done && done.error().fault == MemberFault::Refused) {
        resetAndMarkClean(*lease);
    }
    return done;
}

bool DispatchContext::mayRetry() const
{
    const std::lock_guard lock(budgetMutex);
    return hasRetry(budget);
}

bool DispatchContext::tryConsumeRetry() const
{
    const std::lock_guard lock(budgetMutex);
    return consumeRetry(budget);
}

void DispatchContext::recordFirstAttempt() const
{
    const std::lock_guard lock(budgetMutex);
    recordRequest(budget);
}

Rows rowsOf(const Done &done)
{
    return {done.rows().begin(), done.rows().end()};
}

Refusal unknownGroupRefusal(const std::string &group)
{
    return refuse(Reason::RouteRefused, ExecutionOutcome::NotRun,
                  "the configuration of this VM has no target '" + group + "'");
}

void resetAndMarkClean(ConnectionLease &lease)
{
    MemberRequest reset;
    reset.mutable_reset();
    const auto done = lease.connection().call(reset, steadyNow() + ResetTimeout);
    if (done && done->idle()) {
        lease.markReusable();
    }
}

} // namespace gentianplank::internal
