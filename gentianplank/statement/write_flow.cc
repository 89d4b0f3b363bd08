#include "gentianplank/statement/write_flow.h"

#include <algorithm>

namespace gentianplank {

namespace {

// How long a refused or failed attempt waits, when the view doesn't change before.
constexpr Duration AttemptPause = std::chrono::milliseconds(20);

// The pause doubles with each refusal by a member, up to this.
constexpr Duration LongestRefusedPause = std::chrono::milliseconds(320);

// One attempt at a member takes no longer, so that time is left to learn a lost outcome.
constexpr Duration LongestAttempt = std::chrono::seconds(1);

// The last part of a write's time is kept for resolving: at most this long, and at most this
// fraction of the whole.
constexpr Duration ResolveReserve = std::chrono::milliseconds(300);
constexpr int ResolveShare = 4;

// When a caller may come back after a refusal for want of a primary or a replica.
constexpr Duration RefusalHint = std::chrono::milliseconds(200);

LogPosition positionOf(const target::v1::Done &done)
{
    return fromWire(done.position());
}

WriteAction finish(WriteFlow &flow, Reason reason, ExecutionOutcome outcome,
                   std::string_view message)
{
    flow.phase = WritePhase::Finished;
    flow.refusal = refuse(reason, outcome, message, RefusalHint);
    return {WriteActionKind::Refuse, {}, 0, {}, false};
}

WriteAction waitFor(const WriteFlow &flow, Instant now)
{
    const Instant until = std::max(flow.notBefore, now + AttemptPause);
    return {WriteActionKind::Wait, {}, 0, std::min(flow.deadline, until), false};
}

// Asks the primary in `phase`: half of the time left goes to one attempt.
WriteAction ask(WriteFlow &flow, const MemberView &primary, WritePhase phase, Instant now)
{
    flow.phase = phase;
    flow.member = primary.name;
    flow.term = primary.position.term;
    const bool sends = phase == WritePhase::Sent;
    const Duration attempt = std::min(LongestAttempt, (flow.deadline - now) / 2);
    const bool isRetry = sends && flow.sentInTerm == flow.term;
    flow.wasSent = flow.wasSent || sends;
    return {sends ? WriteActionKind::Send : WriteActionKind::Resolve, flow.member, flow.term,
            now + attempt, isRetry};
}

bool isPinnedElsewhere(const WriteFlow &flow, const GroupView &view, const MemberView *primary)
{
    if (!flow.pinned) {
        return false;
    }
    return highestTerm(view) > flow.pinned->term ||
           (primary != nullptr && primary->name != flow.pinned->member);
}

// Whether the write may be sent to the primary, once more or for the first time.
bool maySendTo(const WriteFlow &flow, const MemberView &primary)
{
    if (flow.pinned) {
        return !flow.wasSent;
    }
    return flow.sentInTerm != primary.position.term || flow.mayResend;
}

// Whether the outcome has to be learned without sending the write once more.
bool mustResolve(const WriteFlow &flow, const MemberView &primary, Instant now)
{
    const bool isLate = now >= flow.resolveFrom;
    return flow.isResolveOnly || (flow.mayHaveRun && (isLate || !maySendTo(flow, primary)));
}

// The write was not sent, and there is no time left to send it.
WriteAction giveUpUnsent(WriteFlow &flow, const GroupView &view, bool isConfirmable)
{
    if (primaryOf(view) == nullptr) {
        return finish(flow, Reason::NoPrimary, ExecutionOutcome::NotRun,
                      "the group has no primary");
    }
    if (!isConfirmable) {
        return finish(flow, Reason::NotReplicated, ExecutionOutcome::NotRun,
                      "no replica is close enough to confirm a write");
    }
    return finish(flow, Reason::Deadline, ExecutionOutcome::NotRun,
                  "the write was not sent in time");
}

WriteAction nextWhenReady(WriteFlow &flow, const GroupView &view, Instant now)
{
    const bool isConfirmable = flow.primaryOnlyAck || canConfirm(view, now);
    const bool isLate = now >= flow.resolveFrom;
    if (isLate && !flow.mayHaveRun) {
        return giveUpUnsent(flow, view, isConfirmable);
    }
    const MemberView *primary = primaryOf(view);
    if (!flow.mayHaveRun && isPinnedElsewhere(flow, view, primary)) {
        return finish(flow, Reason::Aborted, ExecutionOutcome::NotRun,
                      "the primary changed; the transaction is rolled back");
    }
    if (now >= flow.deadline) {
        return finish(flow, Reason::TargetFailed, ExecutionOutcome::Unknown,
                      "an answer was lost and the outcome can't be learned in time");
    }
    if (primary == nullptr || now < flow.notBefore) {
        return waitFor(flow, now);
    }
    if (mustResolve(flow, *primary, now) || isPinnedElsewhere(flow, view, primary)) {
        return ask(flow, *primary, WritePhase::Resolving, now);
    }
    const bool maySend = isConfirmable && maySendTo(flow, *primary);
    return maySend ? ask(flow, *primary, WritePhase::Sent, now) : waitFor(flow, now);
}

// Acknowledges, or gives the outcome of an abort mark, once a majority holds the position while
// its primary is still the latest. A position of a replaced primary has to be resolved anew.
WriteAction nextWhenConfirming(WriteFlow &flow, const GroupView &view, Instant now)
{
    const LogPosition position = positionOf(flow.done);
    const bool aborted = flow.phase == WritePhase::ConfirmingAbort;
    if (highestTerm(view) > position.term) {
        flow.phase = WritePhase::Ready;
        flow.mayHaveRun = true;
        return waitFor(flow, now);
    }
    if (isConfirmed(view, position) || (flow.primaryOnlyAck && !aborted)) {
        if (aborted) {
            return finish(flow, Reason::Aborted, ExecutionOutcome::NotRun,
                          "an earlier attempt was lost and is now barred from running");
        }
        flow.phase = WritePhase::Finished;
        return {WriteActionKind::Acknowledge, {}, 0, {}, false};
    }
    if (now >= flow.deadline) {
        return finish(flow, Reason::NotReplicated, ExecutionOutcome::Unknown,
                      "no majority confirmed the write in time");
    }
    return waitFor(flow, now);
}

// A member refused the attempt before any effect. An earlier attempt may still have run, so
// nothing but the group's record of the request id ends a write that was lost once.
void onRefusedByMember(WriteFlow &flow, const MemberError &error, Instant now)
{
    const ExecutionOutcome outcome =
        flow.mayHaveRun ? ExecutionOutcome::Unknown : ExecutionOutcome::NotRun;
    if (error.kind == target::v1::FAILURE_KIND_STATEMENT) {
        finish(flow, Reason::StatementFailed, outcome, error.message);
        return;
    }
    if (error.kind == target::v1::FAILURE_KIND_ABORTED) {
        finish(flow, Reason::Aborted, outcome, error.message);
        return;
    }
    if (flow.pinned && !flow.mayHaveRun) {
        finish(flow, Reason::Aborted, ExecutionOutcome::NotRun,
               "the transaction is rolled back: " + error.message);
        return;
    }
    flow.phase = WritePhase::Ready;
    flow.refusedPause = std::clamp(2 * flow.refusedPause, AttemptPause, LongestRefusedPause);
    flow.notBefore = now + flow.refusedPause;
}

} // namespace

WriteFlow makeWriteFlow(Instant now, Instant deadline, bool retried)
{
    WriteFlow flow;
    flow.deadline = deadline;
    flow.resolveFrom = deadline - std::min(ResolveReserve, (deadline - now) / ResolveShare);
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
        return waitFor(flow, now);
    case WritePhase::Finished:
        break;
    }
    return {WriteActionKind::Refuse, {}, 0, {}, false};
}

void onNotAdmitted(WriteFlow &flow, const Refusal &refusal, Instant now)
{
    if (flow.mayHaveRun) {
        flow.phase = WritePhase::Ready;
        flow.notBefore = now + AttemptPause;
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
    const bool wasTakenOn = reply || reply.error().fault == MemberFault::Lost;
    if (flow.phase == WritePhase::Sent && wasTakenOn) {
        flow.sentInTerm = flow.term;
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
    flow.notBefore = now + AttemptPause;
}

} // namespace gentianplank
