#include "gentianplank/daemon/entry/peer_runner.h"

#include "gentianplank/proto/vm.grpc.pb.h"

#include <grpcpp/client_context.h>

namespace gentianplank {

namespace {

using vm::v1::ForwardPullReply;
using vm::v1::ForwardReply;
using vm::v1::ForwardRequest;
using vm::v1::ForwardTransactReply;
using vm::v1::ForwardTransactRequest;

// A transaction that a peer runs, over one bidirectional stream.
class PeerTransaction : public TransactionRun
{
public:
    PeerTransaction(vm::v1::Peer::Stub &stub, Instant deadline)
    {
        m_context.set_deadline(toWallTime(deadline));
        m_stream = stub.Transact(&m_context);
    }

    ~PeerTransaction() override
    {
        m_context.TryCancel();
        if (!m_finished) {
            m_stream->Finish();
        }
    }

    // Sends a message and waits for the reply to it. `outcomeWhenLost` is reported when the stream
    // fails without a refusal by the peer.
    tl::expected<StatementAnswer, Refusal> step(const ForwardTransactRequest &request,
                                                ExecutionOutcome outcomeWhenLost)
    {
        ForwardTransactReply reply;
        if (m_finished || !m_stream->Write(request) || !m_stream->Read(&reply)) {
            return tl::unexpected(finish(outcomeWhenLost));
        }
        return fromWire(reply.reply());
    }

    tl::expected<StatementAnswer, Refusal> execute(const Statement &statement,
                                                   Instant /*deadline*/) override
    {
        ForwardTransactRequest request;
        *request.mutable_statement() = statement;
        return step(request, ExecutionOutcome::NotRun);
    }

    tl::expected<StatementAnswer, Refusal> commit(const CommitRequest &commit) override
    {
        ForwardTransactRequest request;
        request.set_commit_request_id(commit.requestId);
        request.set_commit_retried(commit.retried);
        return step(request, ExecutionOutcome::Unknown);
    }

    void rollback() override
    {
        ForwardTransactRequest request;
        request.set_rollback(true);
        m_stream->Write(request);
        finish(ExecutionOutcome::NotRun);
    }

private:
    // Ends the stream and returns the refusal in its status.
    Refusal finish(ExecutionOutcome outcomeWhenLost)
    {
        if (m_finished) {
            return refuse(Reason::TargetFailed, outcomeWhenLost,
                          "the forwarded transaction has already ended");
        }
        m_finished = true;
        m_stream->WritesDone();
        const grpc::Status status = m_stream->Finish();
        return fromStatus(status, outcomeWhenLost);
    }

    grpc::ClientContext m_context;
    std::unique_ptr<grpc::ClientReaderWriter<ForwardTransactRequest, ForwardTransactReply>>
        m_stream;
    bool m_finished = false;
};

class PeerRunner : public StatementRunner
{
public:
    explicit PeerRunner(const std::shared_ptr<grpc::Channel> &channel)
        : m_stub(vm::v1::Peer::NewStub(channel))
    {}

    tl::expected<StatementAnswer, Refusal> execute(const StatementRequest &request) override
    {
        grpc::ClientContext context;
        context.set_deadline(toWallTime(request.deadline));
        ForwardRequest wire;
        toWire(request, &wire);
        ForwardReply reply;
        const grpc::Status status = m_stub->Execute(&context, wire, &reply);
        if (!status.ok()) {
            return tl::unexpected(fromStatus(status, ExecutionOutcome::Unknown));
        }
        return fromWire(reply);
    }

    tl::expected<PulledAnswer, Refusal> pull(const StatementRequest &request,
                                             const ChunkSink &sink) override
    {
        grpc::ClientContext context;
        context.set_deadline(toWallTime(request.deadline));
        ForwardRequest wire;
        toWire(request, &wire);
        const auto reader = m_stub->Pull(&context, wire);
        ForwardPullReply reply;
        std::optional<PulledAnswer> answer;
        while (reader->Read(&reply)) {
            if (reply.has_end()) {
                answer = PulledAnswer{reply.end().end(), reply.end().member()};
            } else if (!sink(reply.chunk())) {
                context.TryCancel();
                break;
            }
        }
        const grpc::Status status = reader->Finish();
        if (!status.ok()) {
            return tl::unexpected(fromStatus(status, ExecutionOutcome::NotRun));
        }
        if (!answer) {
            return tl::unexpected(refuse(Reason::TargetFailed, ExecutionOutcome::NotRun,
                                         "the peer VM ended the pull without an end message"));
        }
        return *answer;
    }

    tl::expected<std::unique_ptr<TransactionRun>, Refusal>
    begin(const StatementRequest &request) override
    {
        auto transaction = std::make_unique<PeerTransaction>(*m_stub, request.deadline);
        ForwardTransactRequest first;
        toWire(request, first.mutable_begin());
        const auto begun = transaction->step(first, ExecutionOutcome::NotRun);
        if (!begun) {
            return tl::unexpected(begun.error());
        }
        return transaction;
    }

private:
    std::unique_ptr<vm::v1::Peer::Stub> m_stub;
};

} // namespace

void toWire(const StatementRequest &request, vm::v1::ForwardRequest *wire)
{
    wire->set_organisation(request.organisation);
    wire->set_key_digest(request.keyDigest);
    wire->set_revision(request.revision);
    wire->set_group(request.group);
    wire->set_request_id(request.requestId);
    *wire->mutable_statement() = request.statement;
    toWire(request.requiredPosition, wire->mutable_needed());
    wire->set_token_lost(request.tokenLost);
    if (request.acceptedAge) {
        wire->set_accepted_age_ms(static_cast<uint32_t>(toMilliseconds(*request.acceptedAge)));
    }
    wire->set_retried(request.retried);
    wire->set_outcome_only(request.outcomeOnly);
    wire->set_hops(request.hops);
    wire->set_entry_vm(request.entryVm);
}

StatementRequest fromWire(const vm::v1::ForwardRequest &wire, Instant deadline)
{
    StatementRequest request;
    request.organisation = wire.organisation();
    request.keyDigest = wire.key_digest();
    request.revision = wire.revision();
    request.group = wire.group();
    request.requestId = wire.request_id();
    request.statement = wire.statement();
    request.requiredPosition = fromWire(wire.needed());
    request.tokenLost = wire.token_lost();
    if (wire.has_accepted_age_ms()) {
        request.acceptedAge = std::chrono::milliseconds(wire.accepted_age_ms());
    }
    request.deadline = deadline;
    request.retried = wire.retried();
    request.outcomeOnly = wire.outcome_only();
    request.hops = wire.hops();
    request.entryVm = wire.entry_vm();
    return request;
}

void toWire(const StatementAnswer &answer, vm::v1::ForwardReply *wire)
{
    wire->mutable_rows()->Assign(answer.rows.begin(), answer.rows.end());
    wire->set_member(answer.member);
    wire->set_replayed(answer.replayed);
    if (answer.written) {
        toWire(*answer.written, wire->mutable_written());
    }
}

StatementAnswer fromWire(const vm::v1::ForwardReply &wire)
{
    StatementAnswer answer;
    answer.rows.assign(wire.rows().begin(), wire.rows().end());
    answer.member = wire.member();
    answer.replayed = wire.replayed();
    if (wire.has_written()) {
        answer.written = fromWire(wire.written());
    }
    return answer;
}

std::chrono::system_clock::time_point toWallTime(Instant deadline)
{
    return std::chrono::system_clock::now() + (deadline - steadyNow());
}

Instant toInstant(std::chrono::system_clock::time_point deadline)
{
    const auto left = deadline - std::chrono::system_clock::now();
    return steadyNow() + std::chrono::duration_cast<Duration>(left);
}

std::unique_ptr<StatementRunner> makePeerRunner(const std::shared_ptr<grpc::Channel> &channel)
{
    return std::make_unique<PeerRunner>(channel);
}

} // namespace gentianplank
