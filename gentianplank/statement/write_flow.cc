#include "gentianplank/statement/write_flow.h"

#include <algorithm>

namespace gentianplank {

namespace {

// The delay after a refused or failed attempt, unless the view changes earlier.
constexpr Duration AttemptRetryDelay = std::chrono::milliseconds(20);

// The backoff doubles with each refusal by a member, up to this limit.
constexpr Duration MaxRefusedBackoff = std::chrono::milliseconds(320);

// Limits one attempt at a member, so that time is left to determine a lost outcome.
constexpr Duration MaxAttemptDuration = std::chrono::seconds(1);

// The time at the end of a write that is reserved for resolving: at most this duration, and at most
// this fraction of the whole.
constexpr Duration ResolveReserve = std::chrono::milliseconds(300);
constexpr int ResolveReserveDivisor = 4;

// The retry delay for a caller that is refused for lack of a primary or a replica.
constexpr Duration RetryAfterHint = std::chrono::milliseconds(200);

LogPosition positionOf(const target::v1::Done &done)
{
    return fromWire(done.position());
}

WriteAction refuseWith(WriteFlow &flow, Reason reason, ExecutionOutcome outcome,
                       std::string_view message)
{
    flow.phase = WritePhase::Finished;
    flow.refusal = refuse(reason, outcome, message, RetryAfterHint);
    return {WriteActionKind::Refuse, {}, 0, {}, false};
}

WriteAction waitAction(const WriteFlow &flow, Instant now)
{
    const Instant until = std::max(flow.notBefore, now + AttemptRetryDelay);
    return {WriteActionKind::Wait, {}, 0, std::min(flow.deadline, until), false};
}

// Starts an attempt at the primary, which gets at most half of the remaining time. `phase` is Sent
// or Resolving.
WriteAction startAttempt(WriteFlow &flow, const MemberView &primary, WritePhase phase, Instant now)
{
    flow.phase = phase;
    flow.member = primary.name;
    flow.term = primary.position.term;
    const bool sends = phase == WritePhase::Sent;
    const Duration attempt = std::min(MaxAttemptDuration, (flow.deadline - now) / 2);
    const bool isRetry = sends && flow.lastAttemptTerm == flow.term;
    flow.wasSent = flow.wasSent || sends;
    return {sends ? WriteActionKind::Send : WriteActionKind::Resolve, flow.member, flow.term,
            now + attempt, isRetry};
}

// Whether a commit can no longer run, since its primary was replaced.
bool isPinnedPrimaryReplaced(const WriteFlow &flow, const GroupView &view,
                             const MemberView *primary)
{
    if (!flow.pinned) {
        return false;
    }
    return highestTerm(view) > flow.pinned->term ||
           (primary != nullptr && primary->name != flow.pinned->member);
}

// Whether the write may be sent to the primary, for the first time or again.
bool maySendTo(const WriteFlow &flow, const MemberView &primary)
{
    if (flow.pinned) {
        return !flow.wasSent;
    }
    return flow.lastAttemptTerm != primary.position.term || flow.mayResend;
}

// Whether the outcome must be determined without sending the write again.
bool mustResolve(const WriteFlow &flow, const MemberView &primary, Instant now)
{
    const bool isLate = now >= flow.resolveFrom;
    return flow.isResolveOnly || (flow.mayHaveRun && (isLate || !maySendTo(flow, primary)));
}

// Refuses a write that was not sent and can no longer be sent in time.
WriteAction refuseUnsent(WriteFlow &flow, const GroupView &view, bool isConfirmable)
{
    if (primaryOf(view) == nullptr) {
        return refuseWith(flow, Reason::NoPrimary, ExecutionOutcome::NotRun,
                          "the group has no primary");
    }
    if (!isConfirmable) {
        return refuseWith(flow, Reason::NotReplicated, ExecutionOutcome::NotRun,
                          "no replica is close enough behind the primary to confirm a write");
    }
    return refuseWith(flow, Reason::Deadline, ExecutionOutcome::NotRun,
                      "the write could not be sent in time");
}

WriteAction nextWhenReady(WriteFlow &flow, const GroupView &view, Instant now)
{
    const bool isConfirmable = flow.primaryOnlyAck || canConfirm(view, now);
    const bool isLate = now >= flow.resolveFrom;
    if (isLate && !flow.mayHaveRun) {
        return refuseUnsent(flow, view, isConfirmable);
    }
    const MemberView *primary = primaryOf(view);
    if (!flow.mayHaveRun && isPinnedPrimaryReplaced(flow, view, primary)) {
        return refuseWith(flow, Reason::Aborted, ExecutionOutcome::NotRun,
                          "the primary changed; the transaction is rolled back");
    }
    if (now >= flow.deadline) {
        return refuseWith(flow, Reason::TargetFailed, ExecutionOutcome::Unknown,
                          "an answer was lost and the outcome could not be determined in time");
    }
    if (primary == nullptr || now < flow.notBefore) {
        return waitAction(flow, now);
    }
    if (mustResolve(flow, *primary, now) || isPinnedPrimaryReplaced(flow, view, primary)) {
        return startAttempt(flow, *primary, WritePhase::Resolving, now);
    }
    const bool maySend = isConfirmable && maySendTo(flow, *primary);
    return maySend ? startAttempt(flow, *primary, WritePhase::Sent, now) : waitAction(flow, now);
}

// Acknowledges the write, or reports its abort, once a majority holds the position while its
// primary is still the latest. The position of a replaced primary must be resolved again.
WriteAction nextWhenConfirming(WriteFlow &flow, const GroupView &view, Instant now)
{
    const LogPosition position = positionOf(flow.done);
    const bool aborted = flow.phase == WritePhase::ConfirmingAbort;
    if (highestTerm(view) > position.term) {
        flow.phase = WritePhase::Ready;
        flow.mayHaveRun = true;
        return waitAction(flow, now);
    }
    if (isConfirmed(view, position) || (flow.primaryOnlyAck && !aborted)) {
        if (aborted) {
            return refuseWith(flow, Reason::Aborted, ExecutionOutcome::NotRun,
                              "an earlier attempt had no answer; the write did not run and can "
                              "no longer run");
        }
        flow.phase = WritePhase::Finished;
        return {WriteActionKind::Acknowledge, {}, 0, {}, false};
    }
    if (now >= flow.deadline) {
        return refuseWith(flow, Reason::NotReplicated, ExecutionOutcome::Unknown,
                          "no majority confirmed the write in time");
    }
    return waitAction(flow, now);
}

// Handles an attempt that a member refused before any effect. An earlier attempt may still have
// run, so a write with a lost answer can only be ended by the group's record of the request id.
void onRefusedByMember(WriteFlow &flow, const MemberError &error, Instant now)
{
    const ExecutionOutcome outcome =
        flow.mayHaveRun ? ExecutionOutcome::Unknown : ExecutionOutcome::NotRun;
    if (error.kind == target::v1::FAILURE_KIND_STATEMENT) {
        refuseWith(flow, Reason::StatementFailed, outcome, error.message);
        return;
    }
    if (error.kind == target::v1::FAILURE_KIND_ABORTED) {
        refuseWith(flow, Reason::Aborted, outcome, error.message);
        return;
    }
    if (flow.pinned && !flow.mayHaveRun) {
        refuseWith(flow, Reason::Aborted, ExecutionOutcome::NotRun,
                   "the transaction is rolled back: " + error.message);
        return;
    }
    flow.phase = WritePhase::Ready;
    flow.refusedBackoff = std::clamp(2 * flow.refusedBackoff, AttemptRetryDelay, MaxRefusedBackoff);
    flow.notBefore = now + flow.refusedBackoff;
}

} // namespace

WriteFlow makeWriteFlow(Instant now, Instant deadline, bool retried)
{
    WriteFlow flow;
    flow.deadline = deadline;
    flow.resolveFrom =
        deadline - std::min(ResolveReserve, (deadline - now) / ResolveReserveDivisor);
    flow.mayHaveRun = retried;
    return flow;
}

WriteFlow makeOutcomeFlow(Instant now, Instant deadline)
{
    WriteFlow flow = makeWriteFlow(now, deadline, true);
    flow.isResolveOnly = true;
    return flow;
}

WriteAction nextAction(WriteFlow &flow, const GroupView &view, Instant now)
{
    switch (flow.phase) {
    case WritePhase::Ready:
        return nextWhenReady(flow, view, now);
    case WritePhase::Confirming:
    case WritePhase::ConfirmingAbort:
        return nextWhenConfirming(flow, view, now);
    case WritePhase::Sent:
    case WritePhase::Resolving:
        return waitAction(flow, now);
    case WritePhase::Finished:
        break;
    }
    return {WriteActionKind::Refuse, {}, 0, {}, false};
}

void onNotAdmitted(WriteFlow &flow, const Refusal &refusal, Instant now)
{
    if (flow.mayHaveRun) {
        flow.phase = WritePhase::Ready;
        flow.notBefore = now + AttemptRetryDelay;
        return;
    }
    flow.phase = WritePhase::Finished;
    flow.refusal = refusal;
}

void onReply(WriteFlow &flow, const tl::expected<target::v1::Done, MemberError> &reply, Instant now)
{
    if (flow.phase != WritePhase::Sent && flow.phase != WritePhase::Resolving) {
        return;
    }
    const bool wasAccepted = reply || reply.error().fault == MemberFault::Lost;
    if (flow.phase == WritePhase::Sent && wasAccepted) {
        flow.lastAttemptTerm = flow.term;
    }
    if (reply) {
        flow.done = *reply;
        flow.phase = reply->aborted() ? WritePhase::ConfirmingAbort : WritePhase::Confirming;
        return;
    }
    if (reply.error().fault == MemberFault::Refused) {
        onRefusedByMember(flow, reply.error(), now);
        return;
    }
    flow.mayHaveRun = flow.mayHaveRun || reply.error().fault == MemberFault::Lost;
    flow.phase = WritePhase::Ready;
    flow.notBefore = now + AttemptRetryDelay;
}

} // namespace gentianplank
