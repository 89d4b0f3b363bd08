#include "gentianplank/daemon/entry/caller_service.h"

#include "gentianplank/base/answer_digest.h"
#include "gentianplank/daemon/entry/peer_runner.h"
#include "gentianplank/session/session_token.h"
#include "gentianplank/statement/route_choice.h"

#include <grpcpp/server_context.h>
#include <sodium.h>

namespace gentianplank {

namespace {

using caller::v1::ExecuteReply;
using caller::v1::ExecuteRequest;
using caller::v1::PullReply;
using caller::v1::TransactReply;
using caller::v1::TransactRequest;

constexpr std::string_view KeyHeader = "authorization";
constexpr std::string_view KeyPrefix = "Bearer ";
// Applies to calls without a deadline.
constexpr Duration DefaultTimeout = std::chrono::seconds(10);
constexpr Duration MaxTimeout = std::chrono::minutes(10);
constexpr size_t RequestIdBytes = 16;

// Returns the bearer key of the call; empty if it has none.
std::string callerKey(const grpc::ServerContext &context)
{
    const auto &metadata = context.client_metadata();
    const auto it = metadata.find(grpc::string_ref(KeyHeader.data(), KeyHeader.size()));
    if (it == metadata.end()) {
        return {};
    }
    const std::string_view value(it->second.data(), it->second.size());
    return value.starts_with(KeyPrefix) ? std::string(value.substr(KeyPrefix.size()))
                                        : std::string();
}

Instant requestDeadline(const grpc::ServerContext &context)
{
    const auto deadline = context.deadline();
    const auto now = std::chrono::system_clock::now();
    if (deadline == std::chrono::system_clock::time_point::max()) {
        return steadyNow() + DefaultTimeout;
    }
    return toInstant(std::min(deadline, now + MaxTimeout));
}

std::string randomRequestId()
{
    std::string bytes(RequestIdBytes, '\0');
    randombytes_buf(bytes.data(), bytes.size());
    std::string hex(2 * RequestIdBytes + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), reinterpret_cast<const unsigned char *>(bytes.data()),
                   bytes.size());
    hex.pop_back();
    return "vm-" + hex;
}

class CallerService : public caller::v1::Caller::Service
{
public:
    CallerService(const RequestAuthoriser &authoriser, StatementRunner &runner, std::string vm,
                  std::string secret)
        : m_authoriser(authoriser)
        , m_runner(runner)
        , m_vm(std::move(vm))
        , m_secret(std::move(secret))
    {}

    grpc::Status Execute(grpc::ServerContext *context, const ExecuteRequest *request,
                         ExecuteReply *reply) override
    {
        auto accepted = accept(*context, *request);
        if (!accepted) {
            return refusalStatus(accepted.error());
        }
        const auto answer = m_runner.execute(accepted->statement);
        if (!answer) {
            return refusalStatus(answer.error());
        }
        reply->mutable_rows()->Assign(answer->rows.begin(), answer->rows.end());
        reply->set_member(answer->member);
        reply->set_vm(m_vm);
        reply->set_replayed(answer->replayed);
        if (answer->written) {
            recordWrite(accepted->session, accepted->statement.group, *answer->written);
        }
        reply->set_session_token(encodeSessionToken(accepted->session, m_secret));
        return grpc::Status::OK;
    }

    grpc::Status Pull(grpc::ServerContext *context, const ExecuteRequest *request,
                      grpc::ServerWriter<PullReply> *writer) override
    {
        auto accepted = accept(*context, *request);
        if (!accepted) {
            return refusalStatus(accepted.error());
        }
        if (!request->statement().read_only()) {
            return refusalStatus(refuse(Reason::InvalidRequest, ExecutionOutcome::NotRun,
                                        "Pull accepts read-only statements only"));
        }
        const auto watch =
            m_authoriser.watch(accepted->authorised, [context] { context->TryCancel(); });
        bool allowed = true;
        const auto sink = [&](const common::v1::Chunk &chunk) {
            allowed = m_authoriser.mayContinue(accepted->authorised, steadyNow());
            PullReply part;
            *part.mutable_chunk() = chunk;
            return allowed && writer->Write(part);
        };
        const auto answer = m_runner.pull(accepted->statement, sink);
        if (!allowed) {
            return refusalStatus(refuse(
                Reason::KeyRefused, ExecutionOutcome::NotRun,
                "the key was withdrawn or this VM lost its membership lease during the pull"));
        }
        if (!answer) {
            return refusalStatus(answer.error());
        }
        PullReply last;
        *last.mutable_end()->mutable_end() = answer->end;
        last.mutable_end()->set_session_token(encodeSessionToken(accepted->session, m_secret));
        last.mutable_end()->set_vm(m_vm);
        writer->Write(last);
        return grpc::Status::OK;
    }

    grpc::Status Transact(grpc::ServerContext *context,
                          grpc::ServerReaderWriter<TransactReply, TransactRequest> *stream) override
    {
        TransactRequest request;
        if (!stream->Read(&request) || !request.has_begin()) {
            return refusalStatus(refuse(Reason::InvalidRequest, ExecutionOutcome::NotRun,
                                        "the first message of Transact must be begin"));
        }
        ExecuteRequest first;
        first.set_route(request.begin().route());
        first.set_session_token(request.begin().session_token());
        auto accepted = accept(*context, first);
        if (!accepted) {
            return refusalStatus(accepted.error());
        }
        const auto watch =
            m_authoriser.watch(accepted->authorised, [context] { context->TryCancel(); });
        auto transaction = m_runner.begin(accepted->statement);
        if (!transaction) {
            return refusalStatus(transaction.error());
        }
        stream->Write({});
        while (stream->Read(&request)) {
            if (!m_authoriser.mayContinue(accepted->authorised, steadyNow())) {
                (*transaction)->rollback();
                return refusalStatus(refuse(Reason::KeyRefused, ExecutionOutcome::NotRun,
                                            "the key was withdrawn or this VM lost its membership "
                                            "lease; the transaction is "
                                            "rolled back"));
            }
            if (request.has_rollback()) {
                break;
            }
            const bool isCommit = request.has_commit();
            const auto answer =
                isCommit
                    ? (*transaction)
                          ->commit({scopedRequestId(*accepted, request.commit().request_id()),
                                    request.commit().retried(), accepted->statement.deadline})
                    : (*transaction)->execute(request.statement(), accepted->statement.deadline);
            if (!answer) {
                return refusalStatus(answer.error());
            }
            TransactReply reply;
            reply.mutable_rows()->Assign(answer->rows.begin(), answer->rows.end());
            reply.set_committed(isCommit);
            reply.set_replayed(answer->replayed);
            if (answer->written) {
                recordWrite(accepted->session, accepted->statement.group, *answer->written);
                reply.set_session_token(encodeSessionToken(accepted->session, m_secret));
            }
            stream->Write(reply);
            if (isCommit) {
                return grpc::Status::OK;
            }
        }
        (*transaction)->rollback();
        return grpc::Status::OK;
    }

private:
    // An authorised request with its decoded session, ready to run.
    struct AcceptedRequest
    {
        AuthorisedRequest authorised;
        Session session;
        StatementRequest statement;
    };

    // Prefixes the organisation, as callers' request ids are unique within their organisation only.
    // Without an id, generates one.
    static std::string scopedRequestId(const AcceptedRequest &accepted,
                                       const std::string &requestId)
    {
        return accepted.authorised.organisation + RequestIdSeparator +
               (requestId.empty() ? randomRequestId() : requestId);
    }

    grpc::Status refusalStatus(Refusal refusal) const
    {
        if (refusal.vm.empty()) {
            refusal.vm = m_vm;
        }
        return toStatus(refusal);
    }

    tl::expected<AcceptedRequest, Refusal> accept(const grpc::ServerContext &context,
                                                  const ExecuteRequest &request) const
    {
        auto authorised = m_authoriser.authorise(callerKey(context), request.route(), steadyNow(),
                                                 requestDeadline(context));
        if (!authorised) {
            return tl::unexpected(authorised.error());
        }
        auto session = decodeSessionToken(request.session_token(), m_secret);
        if (!session) {
            return tl::unexpected(session.error());
        }
        AcceptedRequest accepted{std::move(*authorised), std::move(*session), {}};
        StatementRequest &statement = accepted.statement;
        statement.organisation = accepted.authorised.organisation;
        statement.keyDigest = accepted.authorised.keyDigest;
        statement.revision = accepted.authorised.revision;
        statement.group = accepted.authorised.group;
        statement.requestId = scopedRequestId(accepted, request.request_id());
        statement.statement = request.statement();
        statement.requiredPosition = requiredPosition(accepted.session, statement.group);
        statement.tokenLost = request.token_lost();
        statement.retried = request.retried();
        if (request.has_accepted_age_ms()) {
            statement.acceptedAge = std::chrono::milliseconds(request.accepted_age_ms());
        }
        statement.deadline = forwardDeadline(requestDeadline(context), steadyNow());
        statement.entryVm = m_vm;
        return accepted;
    }

    const RequestAuthoriser &m_authoriser;
    StatementRunner &m_runner;
    std::string m_vm;
    std::string m_secret;
};

} // namespace

std::unique_ptr<caller::v1::Caller::Service> makeCallerService(const RequestAuthoriser &authoriser,
                                                               StatementRunner &runner,
                                                               std::string vm, std::string secret)
{
    return std::make_unique<CallerService>(authoriser, runner, std::move(vm), std::move(secret));
}

} // namespace gentianplank
