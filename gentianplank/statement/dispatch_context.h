// Shared by the write, read, pull and transaction modules of the dispatcher. Internal to the
// component.
#pragma once

#include "gentianplank/statement/dispatcher.h"
#include "gentianplank/statement/retry_budget.h"
#include "gentianplank/statement/write_flow.h"

#include <functional>
#include <mutex>

namespace gentianplank::internal {

using target::v1::Done;
using target::v1::MemberRequest;

// Thread-safe; shared by all requests of a dispatcher.
struct DispatchContext
{
    explicit DispatchContext(DispatcherParts from)
        : parts(std::move(from))
    {}

    // Returns the refusal of a statement whose key was withdrawn or moved to another organisation
    // since the entry VM checked it, by the later configuration of the two VMs. Checked after each
    // wait that precedes a send.
    std::optional<Refusal> keyRefusal(const StatementRequest &request) const;

    // Waits for a slot of the member until `until`, then checks the key.
    tl::expected<AdmissionTicket, Refusal> admit(const StatementRequest &request,
                                                 const GroupView &view, const std::string &member,
                                                 Instant until) const;

    // Leases a connection to the member; NotSent if it is no longer in the group.
    tl::expected<ConnectionLease, MemberError>
    connectTo(const GroupView &view, const std::string &member, Instant deadline) const;

    // Runs one request outside a transaction on a pooled connection. Blocks until `until` at the
    // latest.
    tl::expected<Done, MemberError> callOnce(const GroupView &view, const std::string &member,
                                             const MemberRequest &request, Instant until) const;

    // The same for the statement of a request, as `step`; NotSent if keyRefusal() refuses it once a
    // connection is available.
    tl::expected<Done, MemberError> executeOnce(const StatementRequest &request,
                                                const GroupView &view, const std::string &member,
                                                const MemberRequest &step, Instant until) const;

    // Access to the retry budget; see retry_budget.h.
    bool mayRetry() const;
    bool tryConsumeRetry() const;
    void recordFirstAttempt() const;

    DispatcherParts parts;
    mutable std::mutex budgetMutex;
    mutable RetryBudget budget;
};

Rows rowsOf(const Done &done);
Refusal unknownGroupRefusal(const std::string &group);

// Asks the member to confirm that no transaction is open, and if it does, marks the lease as clean.
// Blocks.
void resetAndMarkClean(ConnectionLease &lease);

// Records that this VM refuses a Send before it reaches the member, and returns its reply.
tl::unexpected<MemberError> refuseSend(WriteFlow &flow, const Refusal &refusal);

// Sends the write or the commit of the action.
using SendStep = std::function<tl::expected<Done, MemberError>(const GroupView &view,
                                                               const WriteAction &action)>;

// Runs a flow until it finishes. Blocks.
tl::expected<StatementAnswer, Refusal> runWriteFlow(const DispatchContext &context,
                                                    const StatementRequest &request,
                                                    WriteFlow &flow, const SendStep &send);

tl::expected<StatementAnswer, Refusal> runWrite(const DispatchContext &context,
                                                const StatementRequest &request);

// Returns a position that covers every write acknowledged before the call, for a session that lost
// its token. It is the position of a new marker in the primary's log that a majority has confirmed.
// A replaced primary can't have a marker confirmed, so the position never allows stale reads.
// Blocks.
tl::expected<LogPosition, Refusal> readBarrier(const DispatchContext &context,
                                               const StatementRequest &request);

tl::expected<StatementAnswer, Refusal> runRead(const DispatchContext &context,
                                               const StatementRequest &request);

tl::expected<PulledAnswer, Refusal> runPull(const DispatchContext &context,
                                            const StatementRequest &request, const ChunkSink &sink);

// Rolls back transactions that reach a limit, on its own thread. Thread-safe.
class TransactionReaper;

std::shared_ptr<TransactionReaper> makeTransactionReaper();

tl::expected<std::unique_ptr<TransactionRun>, Refusal>
beginTransaction(const std::shared_ptr<const DispatchContext> &context, TransactionReaper &reaper,
                 const StatementRequest &request);

} // namespace gentianplank::internal
