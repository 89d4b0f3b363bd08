#include "gentianplank/statement/answer_assembly.h"
#include "gentianplank/statement/dispatch_context.h"
#include "gentianplank/target/read_choice.h"

#include <algorithm>

namespace gentianplank::internal {

namespace {

// How long a pull without a fitting member waits before it looks again.
constexpr Duration PullPause = std::chrono::milliseconds(20);

constexpr Duration RefusalHint = std::chrono::milliseconds(200);

Refusal failedPull(std::string_view message)
{
    return refuse(Reason::TargetFailed, ExecutionOutcome::NotRun, message, RefusalHint);
}

// One pull over as many members as it takes.
class PullRun
{
public:
    PullRun(const DispatchContext &context, const StatementRequest &request, const ChunkSink &sink)
        : m_context(context)
        , m_request(request)
        , m_sink(sink)
        , m_need{request.needed, false, request.acceptedAge, {}}
    {}

    tl::expected<PulledAnswer, Refusal> run()
    {
        m_context.countRequest();
        if (m_request.tokenLost) {
            const auto barrier = readBarrier(m_context, m_request);
            if (!barrier) {
                return tl::unexpected(barrier.error());
            }
            m_need.position = joined(m_need.position, *barrier);
        }
        while (true) {
            const auto view = m_context.parts.board.view(m_request.group);
            if (view == nullptr) {
                return tl::unexpected(noSuchGroup(m_request.group));
            }
            const Instant now = steadyNow();
            if (now >= m_request.deadline) {
                return tl::unexpected(refuse(Reason::Deadline, ExecutionOutcome::NotRun,
                                             "no member could serve the pull in time",
                                             RefusalHint));
            }
            const MemberView *member = chooseReader(*view, m_need, m_context.parts.self, now);
            if (member == nullptr) {
                m_need.excluded.clear();
                m_context.parts.board.waitForChange(m_request.group, view,
                                                    std::min(m_request.deadline, now + PullPause));
                continue;
            }
            auto answer = pullFrom(*view, *member);
            if (answer) {
                return *answer;
            }
            if (m_final) {
                return tl::unexpected(answer.error());
            }
            if (!m_context.takeRetryToken()) {
                return tl::unexpected(failedPull("the answer broke off: " + answer.error().message +
                                                 "; the retry budget is spent"));
            }
            // The next member is at this one's position or later, so that its answer can match.
            m_need.position = joined(m_need.position, member->position);
            m_need.excluded.insert(member->name);
        }
    }

private:
    tl::expected<PulledAnswer, Refusal> pullFrom(const GroupView &view, const MemberView &member)
    {
        auto ticket = m_context.admit(m_request, view, member.name, m_request.deadline);
        if (!ticket) {
            m_final = true;
            return tl::unexpected(ticket.error());
        }
        m_ticket.emplace(std::move(*ticket));
        auto lease = m_context.connectTo(view, member.name, m_request.deadline);
        if (!lease) {
            return tl::unexpected(failedPull(lease.error().message));
        }
        MemberRequest step;
        step.set_term(member.position.term);
        *step.mutable_execute()->mutable_statement() = m_request.statement;
        step.mutable_execute()->set_chunked(true);
        beginAttempt(m_assembly);
        std::optional<AssemblyFault> fault;
        const auto end = lease->connection().pull(
            step, [&](const common::v1::Chunk &chunk) { return passOn(chunk, fault); },
            m_request.deadline);
        m_ticket.reset();
        if (!end) {
            return tl::unexpected(refusalOf(end.error(), fault));
        }
        confirmClean(*lease);
        const auto whole = verifyEnd(m_assembly, *end);
        if (!whole) {
            m_final = whole.error() == AssemblyFault::PrefixDiffers;
            return tl::unexpected(failedPull(toString(whole.error())));
        }
        return PulledAnswer{*whole, member.name};
    }

    // Hands the chunk's new rows to the caller, which may block: the member waits meanwhile.
    bool passOn(const common::v1::Chunk &chunk, std::optional<AssemblyFault> &fault)
    {
        // The member's slot is free once its first chunk is there.
        m_ticket.reset();
        const auto fresh = acceptChunk(m_assembly, chunk);
        if (!fresh) {
            fault = fresh.error();
            return false;
        }
        if (!*fresh || m_sink(**fresh)) {
            return true;
        }
        m_final = true;
        return false;
    }

    Refusal refusalOf(const MemberError &error, const std::optional<AssemblyFault> &fault)
    {
        if (fault) {
            m_final = *fault == AssemblyFault::PrefixDiffers;
            return failedPull(toString(*fault));
        }
        if (error.kind == target::v1::FAILURE_KIND_STATEMENT) {
            m_final = true;
            return refuse(Reason::StatementFailed, ExecutionOutcome::NotRun, error.message);
        }
        return failedPull(error.message);
    }

    const DispatchContext &m_context;
    const StatementRequest &m_request;
    const ChunkSink &m_sink;
    ReadRequirements m_need;
    AnswerAssembly m_assembly;
    std::optional<AdmissionTicket> m_ticket;
    // The last refusal can't be mended at another member.
    bool m_final = false;
};

} // namespace

tl::expected<PulledAnswer, Refusal> runPull(const DispatchContext &context,
                                            const StatementRequest &request, const ChunkSink &sink)
{
    return PullRun(context, request, sink).run();
}

} // namespace gentianplank::internal
