#include "gentianplank/statement/answer_assembly.h"
#include "gentianplank/statement/dispatch_context.h"
#include "gentianplank/target/read_choice.h"

#include <algorithm>

namespace gentianplank::internal {

namespace {

// A pull without an eligible member checks again after this time, or when the group view changes.
constexpr Duration PullRetryInterval = std::chrono::milliseconds(20);

constexpr Duration RetryAfterHint = std::chrono::milliseconds(200);

Refusal pullFailure(std::string_view message)
{
    return refuse(Reason::TargetFailed, ExecutionOutcome::NotRun, message, RetryAfterHint);
}

// Runs one pull, over as many members as needed.
class PullRun
{
public:
    PullRun(const DispatchContext &context, const StatementRequest &request, const ChunkSink &sink)
        : m_context(context)
        , m_request(request)
        , m_sink(sink)
        , m_requirements{request.requiredPosition, false, request.acceptedAge, {}}
    {}

    tl::expected<PulledAnswer, Refusal> run()
    {
        m_context.recordFirstAttempt();
        if (m_request.tokenLost) {
            const auto barrier = readBarrier(m_context, m_request);
            if (!barrier) {
                return tl::unexpected(barrier.error());
            }
            m_requirements.position = mergePositions(m_requirements.position, *barrier);
        }
        while (true) {
            const auto view = m_context.parts.groupViews.view(m_request.group);
            if (view == nullptr) {
                return tl::unexpected(unknownGroupRefusal(m_request.group));
            }
            const Instant now = steadyNow();
            if (now >= m_request.deadline) {
                return tl::unexpected(refuse(Reason::Deadline, ExecutionOutcome::NotRun,
                                             "no member could serve the pull before its deadline",
                                             RetryAfterHint));
            }
            const MemberView *member =
                chooseReader(*view, m_requirements, m_context.parts.self, now);
            if (member == nullptr) {
                m_requirements.excluded.clear();
                m_context.parts.groupViews.waitForChange(
                    m_request.group, view, std::min(m_request.deadline, now + PullRetryInterval));
                continue;
            }
            auto answer = pullFrom(*view, *member);
            if (answer) {
                return *answer;
            }
            if (m_isFinalRefusal) {
                return tl::unexpected(answer.error());
            }
            if (!m_context.tryConsumeRetry()) {
                return tl::unexpected(
                    pullFailure("the answer was interrupted: " + answer.error().message +
                                "; the retry budget is exhausted"));
            }
            // The next member must be at this one's position or later, so that its answer can match
            // the delivered rows.
            m_requirements.position = mergePositions(m_requirements.position, member->position);
            m_requirements.excluded.insert(member->name);
        }
    }

private:
    tl::expected<PulledAnswer, Refusal> pullFrom(const GroupView &view, const MemberView &member)
    {
        auto ticket = m_context.admit(m_request, view, member.name, m_request.deadline);
        if (!ticket) {
            m_isFinalRefusal = true;
            return tl::unexpected(ticket.error());
        }
        m_ticket.emplace(std::move(*ticket));
        auto lease = m_context.connectTo(view, member.name, m_request.deadline);
        if (!lease) {
            return tl::unexpected(pullFailure(lease.error().message));
        }
        if (auto refusal = m_context.keyRefusal(m_request)) {
            lease->markReusable();
            m_isFinalRefusal = true;
            return tl::unexpected(std::move(*refusal));
        }
        MemberRequest step;
        step.set_term(member.position.term);
        *step.mutable_execute()->mutable_statement() = m_request.statement;
        step.mutable_execute()->set_chunked(true);
        beginAttempt(m_assembly);
        std::optional<AssemblyFault> fault;
        const auto end = lease->connection().pull(
            step, [&](const common::v1::Chunk &chunk) { return deliverChunk(chunk, fault); },
            m_request.deadline);
        m_ticket.reset();
        if (!end) {
            return tl::unexpected(refusalOf(end.error(), fault));
        }
        resetAndMarkClean(*lease);
        const auto verifiedEnd = verifyEnd(m_assembly, *end);
        if (!verifiedEnd) {
            m_isFinalRefusal = verifiedEnd.error() == AssemblyFault::PrefixMismatch;
            return tl::unexpected(pullFailure(toString(verifiedEnd.error())));
        }
        return PulledAnswer{*verifiedEnd, member.name};
    }

    // Delivers the new rows of the chunk. The sink may block, which makes the member wait.
    bool deliverChunk(const common::v1::Chunk &chunk, std::optional<AssemblyFault> &fault)
    {
        // The slot of the member is released with its first chunk.
        m_ticket.reset();
        const auto newRows = acceptChunk(m_assembly, chunk);
        if (!newRows) {
            fault = newRows.error();
            return false;
        }
        if (!*newRows || m_sink(**newRows)) {
            return true;
        }
        m_isFinalRefusal = true;
        return false;
    }

    Refusal refusalOf(const MemberError &error, const std::optional<AssemblyFault> &fault)
    {
        if (fault) {
            m_isFinalRefusal = *fault == AssemblyFault::PrefixMismatch;
            return pullFailure(toString(*fault));
        }
        if (error.kind == target::v1::FAILURE_KIND_STATEMENT) {
            m_isFinalRefusal = true;
            return refuse(Reason::StatementFailed, ExecutionOutcome::NotRun, error.message);
        }
        return pullFailure(error.message);
    }

    const DispatchContext &m_context;
    const StatementRequest &m_request;
    const ChunkSink &m_sink;
    ReadRequirements m_requirements;
    AnswerAssembly m_assembly;
    std::optional<AdmissionTicket> m_ticket;
    // No other member can avoid the last refusal.
    bool m_isFinalRefusal = false;
};

} // namespace

tl::expected<PulledAnswer, Refusal> runPull(const DispatchContext &context,
                                            const StatementRequest &request, const ChunkSink &sink)
{
    return PullRun(context, request, sink).run();
}

} // namespace gentianplank::internal
