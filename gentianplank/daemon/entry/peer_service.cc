#include "gentianplank/daemon/entry/peer_service.h"

#include "gentianplank/daemon/entry/peer_runner.h"

#include <grpcpp/server_context.h>

namespace gentianplank {

namespace {

class PeerService : public vm::v1::Peer::Service
{
public:
    explicit PeerService(PeerHandlers handlers)
        : m_handlers(std::move(handlers))
    {}

    grpc::Status Heartbeat(grpc::ServerContext * /*context*/,
                           const vm::v1::HeartbeatRequest *request,
                           vm::v1::HeartbeatReply *reply) override
    {
        return answer(m_handlers.heartbeat, *request, reply);
    }

    grpc::Status Witness(grpc::ServerContext * /*context*/, const vm::v1::WitnessRequest *request,
                         vm::v1::WitnessReply *reply) override
    {
        return answer(m_handlers.witness, *request, reply);
    }

    grpc::Status FetchChanges(grpc::ServerContext * /*context*/,
                              const vm::v1::FetchChangesRequest *request,
                              vm::v1::FetchChangesReply *reply) override
    {
        return answer(m_handlers.fetchChanges, *request, reply);
    }

    grpc::Status Lend(grpc::ServerContext * /*context*/, const vm::v1::LendRequest *request,
                      vm::v1::LendReply *reply) override
    {
        return answer(m_handlers.lend, *request, reply);
    }

    grpc::Status Observe(grpc::ServerContext * /*context*/, const vm::v1::ObserveRequest *request,
                         vm::v1::ObserveReply *reply) override
    {
        return answer(m_handlers.observe, *request, reply);
    }

    grpc::Status Execute(grpc::ServerContext *context, const vm::v1::ForwardRequest *request,
                         vm::v1::ForwardReply *reply) override
    {
        const auto answer =
            m_handlers.runner.execute(fromWire(*request, toInstant(context->deadline())));
        if (!answer) {
            return toStatus(answer.error());
        }
        toWire(*answer, reply);
        return grpc::Status::OK;
    }

    grpc::Status Pull(grpc::ServerContext *context, const vm::v1::ForwardRequest *request,
                      grpc::ServerWriter<vm::v1::ForwardPullReply> *writer) override
    {
        const auto sink = [&](const common::v1::Chunk &chunk) {
            vm::v1::ForwardPullReply part;
            *part.mutable_chunk() = chunk;
            return writer->Write(part);
        };
        const auto answer =
            m_handlers.runner.pull(fromWire(*request, toInstant(context->deadline())), sink);
        if (!answer) {
            return toStatus(answer.error());
        }
        vm::v1::ForwardPullReply last;
        *last.mutable_end()->mutable_end() = answer->end;
        last.mutable_end()->set_member(answer->member);
        writer->Write(last);
        return grpc::Status::OK;
    }

    grpc::Status Transact(grpc::ServerContext *context,
                          grpc::ServerReaderWriter<vm::v1::ForwardTransactReply,
                                                   vm::v1::ForwardTransactRequest> *stream) override
    {
        vm::v1::ForwardTransactRequest request;
        if (!stream->Read(&request) || !request.has_begin()) {
            return toStatus(refuse(Reason::InvalidRequest, ExecutionOutcome::NotRun,
                                   "the first message of Transact must be begin"));
        }
        const Instant deadline = toInstant(context->deadline());
        auto transaction = m_handlers.runner.begin(fromWire(request.begin(), deadline));
        if (!transaction) {
            return toStatus(transaction.error());
        }
        stream->Write({});
        while (stream->Read(&request)) {
            if (request.rollback()) {
                break;
            }
            const bool isCommit = !request.commit_request_id().empty();
            const auto answer = isCommit ? (*transaction)
                                               ->commit({request.commit_request_id(),
                                                         request.commit_retried(), deadline})
                                         : (*transaction)->execute(request.statement(), deadline);
            if (!answer) {
                return toStatus(answer.error());
            }
            vm::v1::ForwardTransactReply reply;
            toWire(*answer, reply.mutable_reply());
            stream->Write(reply);
            if (isCommit) {
                return grpc::Status::OK;
            }
        }
        (*transaction)->rollback();
        return grpc::Status::OK;
    }

private:
    template <typename Request, typename Reply>
    static grpc::Status answer(const std::function<Reply(const Request &)> &handler,
                               const Request &request, Reply *reply)
    {
        if (!handler) {
            return {grpc::StatusCode::UNIMPLEMENTED, "the call is not implemented on this VM"};
        }
        *reply = handler(request);
        return grpc::Status::OK;
    }

    PeerHandlers m_handlers;
};

} // namespace

std::unique_ptr<vm::v1::Peer::Service> makePeerService(PeerHandlers handlers)
{
    return std::make_unique<PeerService>(std::move(handlers));
}

} // namespace gentianplank
