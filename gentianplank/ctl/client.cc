#include "gentianplank/ctl/client.h"

#include "gentianplank/base/answer_digest.h"
#include "gentianplank/proto/admin.grpc.pb.h"
#include "gentianplank/proto/caller.grpc.pb.h"
#include "gentianplank/proto/standin.grpc.pb.h"

#include <grpcpp/create_channel.h>

#include <fstream>
#include <iterator>

namespace gentianplank {

namespace {

std::shared_ptr<grpc::ChannelCredentials> makeCredentials(const ClientOptions &options)
{
    if (options.authorityFile.empty()) {
        return grpc::InsecureChannelCredentials();
    }
    std::ifstream in(options.authorityFile, std::ios::binary);
    grpc::SslCredentialsOptions ssl;
    ssl.pem_root_certs = {std::istreambuf_iterator<char>(in), {}};
    return grpc::SslCredentials(ssl);
}

void configureContext(grpc::ClientContext &context, const ClientOptions &options)
{
    if (!options.key.empty()) {
        context.AddMetadata("authorization", "Bearer " + options.key);
    }
    context.set_deadline(std::chrono::system_clock::now() + options.timeout);
}

class GrpcTransaction : public TransactionCall
{
public:
    GrpcTransaction(caller::v1::Caller::Stub &stub, const ClientOptions &options)
    {
        configureContext(m_context, options);
        m_stream = stub.Transact(&m_context);
    }

    ~GrpcTransaction() override
    {
        if (!m_finished) {
            m_stream->WritesDone();
            m_stream->Finish();
        }
    }

    tl::expected<caller::v1::TransactReply, Refusal>
    step(const caller::v1::TransactRequest &request) override
    {
        caller::v1::TransactReply reply;
        if (m_finished) {
            return tl::unexpected(refuse(Reason::InvalidRequest, ExecutionOutcome::NotRun,
                                         "the transaction has already ended"));
        }
        if (m_stream->Write(request) && m_stream->Read(&reply)) {
            return reply;
        }
        m_finished = true;
        m_stream->WritesDone();
        const grpc::Status status = m_stream->Finish();
        if (status.ok()) {
            return reply;
        }
        return tl::unexpected(fromStatus(status, request.has_commit() ? ExecutionOutcome::Unknown
                                                                      : ExecutionOutcome::NotRun));
    }

private:
    grpc::ClientContext m_context;
    std::unique_ptr<
        grpc::ClientReaderWriter<caller::v1::TransactRequest, caller::v1::TransactReply>>
        m_stream;
    bool m_finished = false;
};

class GrpcClient : public Client
{
public:
    explicit GrpcClient(ClientOptions options)
        : m_options(std::move(options))
        , m_vm(grpc::CreateChannel(m_options.vm, makeCredentials(m_options)))
        , m_caller(caller::v1::Caller::NewStub(m_vm))
        , m_admin(admin::v1::Administration::NewStub(m_vm))
        , m_faults(standin::v1::Faults::NewStub(
              grpc::CreateChannel(m_options.standin, grpc::InsecureChannelCredentials())))
    {}

    tl::expected<caller::v1::ExecuteReply, Refusal>
    execute(const caller::v1::ExecuteRequest &request) override
    {
        return call<caller::v1::ExecuteReply>(*m_caller, &caller::v1::Caller::Stub::Execute,
                                              request);
    }

    tl::expected<caller::v1::PullEnd, Refusal> pull(const caller::v1::ExecuteRequest &request,
                                                    const ChunkHandler &onChunk) override
    {
        grpc::ClientContext context;
        configureContext(context, m_options);
        const auto reader = m_caller->Pull(&context, request);
        caller::v1::PullReply reply;
        caller::v1::PullEnd end;
        AnswerDigest digest;
        bool isComplete = false;
        while (reader->Read(&reply)) {
            if (reply.has_end()) {
                end = reply.end();
                isComplete = digest.matches(end.end());
                continue;
            }
            for (const common::v1::Row &it : reply.chunk().rows()) {
                digest.add(it);
            }
            onChunk(reply.chunk());
        }
        const grpc::Status status = reader->Finish();
        if (!status.ok()) {
            return tl::unexpected(fromStatus(status, ExecutionOutcome::NotRun));
        }
        if (!isComplete) {
            return tl::unexpected(refuse(Reason::TargetFailed, ExecutionOutcome::NotRun,
                                         "the answer is incomplete or its digest does not match"));
        }
        return end;
    }

    tl::expected<std::unique_ptr<TransactionCall>, Refusal>
    begin(const caller::v1::Begin &begin) override
    {
        auto transaction = std::make_unique<GrpcTransaction>(*m_caller, m_options);
        caller::v1::TransactRequest request;
        *request.mutable_begin() = begin;
        const auto reply = transaction->step(request);
        if (!reply) {
            return tl::unexpected(reply.error());
        }
        return transaction;
    }

    tl::expected<admin::v1::ChangeReply, Refusal>
    change(const admin::v1::ChangeRequest &request) override
    {
        return call<admin::v1::ChangeReply>(*m_admin, &admin::v1::Administration::Stub::Change,
                                            request);
    }

    tl::expected<admin::v1::SwitchPrimaryReply, Refusal>
    switchPrimary(const admin::v1::SwitchPrimaryRequest &request) override
    {
        return call<admin::v1::SwitchPrimaryReply>(
            *m_admin, &admin::v1::Administration::Stub::SwitchPrimary, request);
    }

    tl::expected<admin::v1::StatusReply, Refusal> status() override
    {
        return call<admin::v1::StatusReply>(*m_admin, &admin::v1::Administration::Stub::Status,
                                            admin::v1::StatusRequest{});
    }

    tl::expected<admin::v1::HistoryReply, Refusal>
    history(const admin::v1::HistoryRequest &request) override
    {
        return call<admin::v1::HistoryReply>(*m_admin, &admin::v1::Administration::Stub::History,
                                             request);
    }

    tl::expected<configuration::v1::Document, Refusal> configuration() override
    {
        return call<configuration::v1::Document>(*m_admin,
                                                 &admin::v1::Administration::Stub::GetConfiguration,
                                                 admin::v1::GetConfigurationRequest{});
    }

    tl::expected<standin::v1::FaultReply, Refusal>
    setFault(const standin::v1::FaultRequest &request) override
    {
        return call<standin::v1::FaultReply>(*m_faults, &standin::v1::Faults::Stub::Set, request);
    }

    tl::expected<standin::v1::ReceivedReply, Refusal> received() override
    {
        return call<standin::v1::ReceivedReply>(*m_faults, &standin::v1::Faults::Stub::Received,
                                                standin::v1::ReceivedRequest{});
    }

private:
    // Makes one unary call and converts an error status to a refusal.
    template <typename Reply, typename Stub, typename Request>
    tl::expected<Reply, Refusal>
    call(Stub &stub, grpc::Status (Stub::*method)(grpc::ClientContext *, const Request &, Reply *),
         const Request &request) const
    {
        grpc::ClientContext context;
        configureContext(context, m_options);
        Reply reply;
        const grpc::Status status = (stub.*method)(&context, request, &reply);
        if (!status.ok()) {
            return tl::unexpected(fromStatus(status, ExecutionOutcome::Unknown));
        }
        return reply;
    }

    ClientOptions m_options;
    std::shared_ptr<grpc::Channel> m_vm;
    std::unique_ptr<caller::v1::Caller::Stub> m_caller;
    std::unique_ptr<admin::v1::Administration::Stub> m_admin;
    std::unique_ptr<standin::v1::Faults::Stub> m_faults;
};

} // namespace

std::unique_ptr<Client> makeGrpcClient(const ClientOptions &options)
{
    return std::make_unique<GrpcClient>(options);
}

} // namespace gentianplank
