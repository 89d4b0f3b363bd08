// State machine of one write: when it is sent, when it is acknowledged, how the outcome of a lost
// answer is determined, and what the caller is told.
//
//     WriteFlow flow = makeWriteFlow(now, deadline);
//     while (true) {
//         const WriteAction action = nextAction(flow, view, now);
//         switch (action.kind) { ...wait, send, resolve, or finish... }
//         onReply(flow, reply, now);            // after send and resolve
//     }
#pragma once

#include "gentianplank/base/refusal.h"
#include "gentianplank/proto/target.pb.h"
#include "gentianplank/target/group_view.h"
#include "gentianplank/target/member_connection.h"

#include <tl/expected.hpp>

#include <optional>
#include <string>

namespace gentianplank {

enum class WritePhase {
    // No request is outstanding. If mayHaveRun is set, the group must decide the outcome: the write
    // is sent again with its request id, or resolved.
    Ready,
    // Sent; waiting for the answer.
    Sent,
    // The primary ran it; a majority must confirm its position.
    Confirming,
    // The current primary was asked for the outcome.
    Resolving,
    // The primary recorded the request id as aborted; a majority must confirm that record.
    ConfirmingAbort,
    Finished,
};

enum class WriteActionKind {
    // Wait for a change of the group view, until `until` at the latest.
    Wait,
    // Send the statement or the commit to `member` in `term`, and wait for the answer until
    // `until`.
    Send,
    // Ask `member` for the outcome of the request id in `term`, and wait for the answer until
    // `until`.
    Resolve,
    // Acknowledge with flow.done.
    Acknowledge,
    // Refuse with flow.refusal.
    Refuse,
};

struct WriteAction
{
    WriteActionKind kind = WriteActionKind::Wait;
    std::string member;
    uint64_t term = 0;
    Instant until{};
    // A Send that counts against the retry budget.
    bool isRetry = false;
};

// The only primary that can commit a transaction.
struct PinnedPrimary
{
    std::string member;
    uint64_t term = 0;
};

// The state of one request. A plain value; not thread-safe.
struct WriteFlow
{
    WritePhase phase = WritePhase::Ready;
    Instant deadline{};
    // From here on the write is no longer sent; the remaining time is reserved for determining its
    // outcome.
    Instant resolveFrom{};
    // An attempt with this request id had no final answer, so "not run" requires the group's record
    // of the request id.
    bool mayHaveRun = false;
    // nextAction has returned a Send.
    bool wasSent = false;
    // The term of the last attempt that a member accepted. Another attempt in that term is a retry.
    // The first attempt in a later term is not, since the load of the earlier primary is gone. An
    // attempt that a member refuses before any effect costs it next to nothing; the backoff limits
    // those.
    uint64_t lastAttemptTerm = 0;
    // The write may be sent again in the same term; cleared while the retry budget is exhausted.
    bool mayResend = true;
    // The write is never sent; only its outcome is determined.
    bool isResolveOnly = false;
    // Set for a commit, which is sent only once and only to this primary.
    std::optional<PinnedPrimary> pinned;
    // An exception set by an operator: the confirmation of the primary alone is enough.
    bool primaryOnlyAck = false;
    std::string member;
    uint64_t term = 0;
    // No attempt is made before this time.
    Instant notBefore{};
    // The backoff after the last refusal by a member.
    Duration refusedBackoff{};
    target::v1::Done done;
    Refusal refusal;
};

// `retried`: the caller or a peer had no final answer to an earlier attempt with the request id.
WriteFlow makeWriteFlow(Instant now, Instant deadline, bool retried = false);

// Returns a flow that never sends the write: it determines the outcome of the request id, and if
// the write has not run, prevents it from running later.
WriteFlow makeOutcomeFlow(Instant now, Instant deadline);

// Returns the next action. Deterministic; call it again after each reply, wait or change of the
// view.
WriteAction nextAction(WriteFlow &flow, const GroupView &view, Instant now);

// Records that this VM's own admission control refused a Send; called before onReply.
void onNotAdmitted(WriteFlow &flow, const Refusal &refusal, Instant now);

// Records the reply to the last Send or Resolve.
void onReply(WriteFlow &flow, const tl::expected<target::v1::Done, MemberError> &reply,
             Instant now);

} // namespace gentianplank
