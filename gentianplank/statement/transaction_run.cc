#include "gentianplank/statement/dispatch_context.h"
#include "gentianplank/statement/transaction_limits.h"

#include <algorithm>
#include <condition_variable>
#include <thread>
#include <vector>

namespace gentianplank::internal {

namespace {

// Limits one step, so that an isolated primary doesn't block the caller until its deadline.
constexpr Duration MaxStepDuration = std::chrono::seconds(2);

constexpr Duration RollbackTimeout = std::chrono::seconds(1);

constexpr Duration ReaperInterval = std::chrono::milliseconds(50);

// The slot and the connection of a transaction. Destroying them closes the connection, upon which
// the member rolls back, unless the lease was marked as clean.
struct HeldResources
{
    AdmissionTicket ticket;
    ConnectionLease lease;
};

// A transaction at a member. Thread-safe, since the reaper may end it while its caller uses it.
class OpenTransaction
{
public:
    OpenTransaction(std::shared_ptr<const DispatchContext> context, StatementRequest request,
                    TransactionAge age, HeldResources held)
        : m_context(std::move(context))
        , m_request(std::move(request))
        , m_age(std::move(age))
        , m_held(std::make_unique<HeldResources>(std::move(held)))
    {}

    tl::expected<StatementAnswer, Refusal> execute(const Statement &statement, Instant deadline)
    {
        const std::lock_guard lock(m_mutex);
        if (auto refusal = endIfExpired(steadyNow())) {
            return tl::unexpected(*refusal);
        }
        MemberRequest step;
        step.set_term(m_age.term);
        *step.mutable_execute()->mutable_statement() = statement;
        const Instant until = std::min(deadline, steadyNow() + MaxStepDuration);
        const auto done = m_held->lease.connection().call(step, until);
        if (!done) {
            const bool isStatement = done.error().kind == target::v1::FAILURE_KIND_STATEMENT;
            return tl::unexpected(
                end(refuse(isStatement ? Reason::StatementFailed : Reason::TargetFailed,
                           ExecutionOutcome::NotRun,
                           "the transaction is rolled back: " + done.error().message)));
        }
        m_age.lastStepAt = steadyNow();
        return StatementAnswer{rowsOf(*done), m_age.member, false, std::nullopt};
    }

    tl::expected<StatementAnswer, Refusal> commit(const std::string &requestId, bool retried,
                                                  Instant deadline)
    {
        const std::lock_guard lock(m_mutex);
        if (auto refusal = endIfExpired(steadyNow())) {
            // This transaction did not run, but an earlier one with the same request id may have.
            refusal->outcome = retried ? ExecutionOutcome::Unknown : refusal->outcome;
            return tl::unexpected(*refusal);
        }
        m_request.requestId = requestId;
        WriteFlow flow = makeWriteFlow(steadyNow(), deadline, retried);
        flow.pinned = PinnedPrimary{m_age.member, m_age.term};
        auto answer = runWriteFlow(*m_context, m_request, flow,
                                   [&](const GroupView & /*view*/, const WriteAction &action) {
                                       return sendCommit(flow, action);
                                   });
        end(refuse(Reason::Aborted, ExecutionOutcome::Unknown, "the transaction has ended"));
        return answer;
    }

    void rollback()
    {
        const std::lock_guard lock(m_mutex);
        if (m_held == nullptr) {
            return;
        }
        MemberRequest step;
        step.mutable_rollback();
        const auto done = m_held->lease.connection().call(step, steadyNow() + RollbackTimeout);
        if (done && done->idle()) {
            m_held->lease.markReusable();
        }
        end(refuse(Reason::Aborted, ExecutionOutcome::NotRun, "the transaction is rolled back"));
    }

    // Rolls the transaction back if it has reached a limit or lost its key, and no step is running.
    void rollBackIfExpired(Instant now)
    {
        const std::unique_lock lock(m_mutex, std::try_to_lock);
        if (lock.owns_lock()) {
            endIfExpired(now);
        }
    }

private:
    tl::expected<Done, MemberError> sendCommit(WriteFlow &flow, const WriteAction &action)
    {
        if (const auto refusal = m_context->keyRefusal(m_request)) {
            m_held.reset();
            return refuseSend(flow, *refusal);
        }
        MemberRequest step;
        step.set_term(action.term);
        step.mutable_commit()->set_request_id(m_request.requestId);
        auto done = m_held->lease.connection().call(step, action.until);
        if (done && done->idle()) {
            m_held->lease.markReusable();
        }
        // The slot and the connection are released while the commit is confirmed or resolved.
        m_held.reset();
        return done;
    }

    std::optional<Refusal> endIfExpired(Instant now)
    {
        if (m_held == nullptr) {
            return m_endRefusal;
        }
        const auto view = m_context->parts.groupViews.view(m_request.group);
        if (view == nullptr) {
            return end(unknownGroupRefusal(m_request.group));
        }
        auto refusal = expiryRefusal(m_age, *view, now);
        if (!refusal) {
            refusal = m_context->keyRefusal(m_request);
        }
        if (refusal) {
            end(*refusal);
        }
        return refusal;
    }

    Refusal end(Refusal refusal)
    {
        m_held.reset();
        m_endRefusal = std::move(refusal);
        return *m_endRefusal;
    }

    std::shared_ptr<const DispatchContext> m_context;
    std::mutex m_mutex;
    StatementRequest m_request;
    TransactionAge m_age;
    std::unique_ptr<HeldResources> m_held;
    std::optional<Refusal> m_endRefusal;
};

class LocalTransaction : public TransactionRun
{
public:
    explicit LocalTransaction(std::shared_ptr<OpenTransaction> open)
        : m_open(std::move(open))
    {}

    tl::expected<StatementAnswer, Refusal> execute(const Statement &statement,
                                                   Instant deadline) override
    {
        return m_open->execute(statement, deadline);
    }

    tl::expected<StatementAnswer, Refusal> commit(const CommitRequest &request) override
    {
        return m_open->commit(request.requestId, request.retried, request.deadline);
    }

    void rollback() override { m_open->rollback(); }

private:
    std::shared_ptr<OpenTransaction> m_open;
};

} // namespace

class TransactionReaper
{
public:
    TransactionReaper()
        : m_thread([this] { run(); })
    {}

    ~TransactionReaper()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_changed.notify_all();
        m_thread.join();
    }

    TransactionReaper(const TransactionReaper &) = delete;
    TransactionReaper &operator=(const TransactionReaper &) = delete;

    void add(const std::shared_ptr<OpenTransaction> &transaction)
    {
        const std::lock_guard lock(m_mutex);
        m_open.push_back(transaction);
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        while (!m_stopping) {
            m_changed.wait_for(lock, ReaperInterval);
            std::erase_if(m_open, [](const auto &it) { return it.expired(); });
            const std::vector<std::weak_ptr<OpenTransaction>> open = m_open;
            lock.unlock();
            for (const auto &it : open) {
                if (const auto transaction = it.lock()) {
                    transaction->rollBackIfExpired(steadyNow());
                }
            }
            lock.lock();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::weak_ptr<OpenTransaction>> m_open;
    bool m_stopping = false;
    std::thread m_thread;
};

std::shared_ptr<TransactionReaper> makeTransactionReaper()
{
    return std::make_shared<TransactionReaper>();
}

tl::expected<std::unique_ptr<TransactionRun>, Refusal>
beginTransaction(const std::shared_ptr<const DispatchContext> &context, TransactionReaper &reaper,
                 const StatementRequest &request)
{
    const auto view = context->parts.groupViews.view(request.group);
    if (view == nullptr) {
        return tl::unexpected(unknownGroupRefusal(request.group));
    }
    const MemberView *primary = primaryOf(*view);
    if (primary == nullptr) {
        return tl::unexpected(
            refuse(Reason::NoPrimary, ExecutionOutcome::NotRun, "the group has no primary"));
    }
    context->recordFirstAttempt();
    auto ticket = context->admit(request, *view, primary->name, request.deadline);
    if (!ticket) {
        return tl::unexpected(ticket.error());
    }
    auto lease = context->connectTo(*view, primary->name, request.deadline);
    if (!lease) {
        return tl::unexpected(
            refuse(Reason::TargetFailed, ExecutionOutcome::NotRun, lease.error().message));
    }
    MemberRequest step;
    step.set_term(primary->position.term);
    step.mutable_begin();
    const Instant until = std::min(request.deadline, steadyNow() + MaxStepDuration);
    const auto done = lease->connection().call(step, until);
    if (!done) {
        return tl::unexpected(
            refuse(Reason::TargetFailed, ExecutionOutcome::NotRun, done.error().message));
    }
    const Instant now = steadyNow();
    auto open = std::make_shared<OpenTransaction>(
        context, request,
        TransactionAge{now, now, primary->name, primary->position.term, request.deadline},
        HeldResources{std::move(*ticket), std::move(*lease)});
    reaper.add(open);
    return std::make_unique<LocalTransaction>(std::move(open));
}

} // namespace gentianplank::internal
