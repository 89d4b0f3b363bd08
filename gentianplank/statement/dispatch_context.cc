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

tl::expected<Done, MemberError> callOn(const GroupViewRegistry &groupViews, ConnectionLease &lease,
                                       const std::string &group, const MemberRequest &request,
                                       Instant until)
{
    // A later term means that this primary can't confirm anything any more.
    lease.connection().abandonWhen([&groupViews, group, term = request.term()] {
        return highestTerm(*groupViews.view(group)) > term;
    });
    auto done = lease.connection().call(request, until);
    lease.connection().abandonWhen({});
    if (done && done->idle()) {
        lease.markReusable();
    } else if (!done && done.error().fault == MemberFault::Refused) {
        resetAndMarkClean(lease);
    }
    return done;
}

tl::unexpected<MemberError> notSent(const Refusal &refusal)
{
    return tl::unexpected(
        MemberError{MemberFault::NotSent, target::v1::FAILURE_KIND_UNSPECIFIED, refusal.message});
}

} // namespace

std::optional<Refusal> DispatchContext::keyRefusal(const StatementRequest &request) const
{
    const auto configuration = parts.configuration();
    if (request.keyDigest.empty() || configuration->revision() < request.revision ||
        configuration->isGranted(request.keyDigest, request.organisation)) {
        return std::nullopt;
    }
    return refuse(Reason::KeyRefused, ExecutionOutcome::NotRun,
                  "the key was withdrawn or moved to another organisation before the statement "
                  "was sent");
}

tl::expected<AdmissionTicket, Refusal> DispatchContext::admit(const StatementRequest &request,
                                                              const GroupView &view,
                                                              const std::string &member,
                                                              Instant until) const
{
    auto ticket = parts.admission.acquireSlot(
        {view.group + "/" + member, request.organisation,
         parts.configuration()->weightOf(request.organisation), 1, until},
        view.slots);
    if (!ticket) {
        return ticket;
    }
    if (auto refusal = keyRefusal(request)) {
        return tl::unexpected(std::move(*refusal));
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
    return callOn(parts.groupViews, *lease, view.group, request, until);
}

tl::expected<Done, MemberError> DispatchContext::executeOnce(const StatementRequest &request,
                                                             const GroupView &view,
                                                             const std::string &member,
                                                             const MemberRequest &step,
                                                             Instant until) const
{
    auto lease = connectTo(view, member, until);
    if (!lease) {
        return tl::unexpected(lease.error());
    }
    if (const auto refusal = keyRefusal(request)) {
        lease->markReusable();
        return notSent(*refusal);
    }
    return callOn(parts.groupViews, *lease, view.group, step, until);
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

tl::unexpected<MemberError> refuseSend(WriteFlow &flow, const Refusal &refusal)
{
    onNotAdmitted(flow, refusal, steadyNow());
    return notSent(refusal);
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
