#include "gentianplank/target/member_connection.h"

#include "gentianplank/proto/target.grpc.pb.h"

#include <grpcpp/client_context.h>
#include <grpcpp/completion_queue.h>

namespace gentianplank {

namespace {

using target::v1::MemberReply;
using target::v1::MemberRequest;

using Stream = grpc::ClientAsyncReaderWriter<MemberRequest, MemberReply>;

// Interval at which an outstanding call checks whether it has been abandoned.
constexpr Duration AbandonPollInterval = std::chrono::milliseconds(10);

MemberError lostError(const std::string &message)
{
    return {MemberFault::Lost, target::v1::FAILURE_KIND_UNSPECIFIED, message};
}

std::chrono::system_clock::time_point wallTimeOf(Instant deadline)
{
    return std::chrono::system_clock::now() + (deadline - steadyNow());
}

// A gRPC stream with its own completion queue, so that each operation has its own deadline.
class GrpcMemberConnection : public MemberConnection
{
public:
    explicit GrpcMemberConnection(const std::shared_ptr<grpc::Channel> &channel)
        : m_stub(target::v1::Member::NewStub(channel))
    {}

    ~GrpcMemberConnection() override
    {
        if (m_stream != nullptr) {
            // At most one operation is outstanding; cancelling the stream ends it.
            m_context.TryCancel();
            finishStream();
        }
    }

    bool open(Instant deadline)
    {
        m_stream = m_stub->PrepareAsyncConnect(&m_context, &m_queue);
        m_stream->StartCall(&m_queue);
        if (!waitForOperation(deadline)) {
            return false;
        }
        // The member answers the first reset once the connection is set up.
        MemberRequest request;
        request.mutable_reset();
        return call(std::move(request), deadline).has_value();
    }

    tl::expected<target::v1::Done, MemberError> call(MemberRequest request,
                                                     Instant deadline) override
    {
        if (!send(request, deadline)) {
            return tl::unexpected(lostError("the request could not be sent before the deadline"));
        }
        while (true) {
            MemberReply reply;
            if (!receive(reply, deadline)) {
                return tl::unexpected(lostError("no answer from the member before the deadline"));
            }
            if (reply.attempt() != m_attempt) {
                continue;
            }
            if (reply.has_done()) {
                return reply.done();
            }
            if (reply.has_failure()) {
                return tl::unexpected(refusedError(reply));
            }
            m_usable = false;
            return tl::unexpected(lostError("the member sent a reply of an unexpected kind"));
        }
    }

    tl::expected<common::v1::AnswerEnd, MemberError>
    pull(MemberRequest request, const ChunkSink &sink, Instant deadline) override
    {
        if (!send(request, deadline)) {
            return tl::unexpected(lostError("the request could not be sent before the deadline"));
        }
        while (true) {
            MemberReply reply;
            if (!receive(reply, deadline)) {
                return tl::unexpected(lostError("the member's answer is incomplete"));
            }
            if (reply.attempt() != m_attempt) {
                continue;
            }
            if (reply.has_end()) {
                return reply.end();
            }
            if (reply.has_failure()) {
                return tl::unexpected(refusedError(reply));
            }
            if (!reply.has_chunk() || !sink(reply.chunk())) {
                m_usable = false;
                return tl::unexpected(lostError(
                    "the receiver stopped the answer, or the reply is of an unexpected kind"));
            }
        }
    }

    void abandonWhen(std::function<bool()> predicate) override
    {
        m_abandoned = std::move(predicate);
    }

    bool isUsable() const override { return m_usable; }

private:
    static MemberError refusedError(const MemberReply &reply)
    {
        return {MemberFault::Refused, reply.failure().kind(), reply.failure().message()};
    }

    bool send(MemberRequest &request, Instant deadline)
    {
        if (!m_usable) {
            return false;
        }
        request.set_attempt(++m_attempt);
        m_stream->Write(request, this);
        return waitForOperation(deadline);
    }

    bool receive(MemberReply &reply, Instant deadline)
    {
        m_stream->Read(&reply, this);
        return waitForOperation(deadline);
    }

    // Waits for the outstanding operation. If it misses its deadline, the stream is cancelled and
    // the end of the operation awaited, since the operation refers to the caller's buffer.
    bool waitForOperation(Instant deadline)
    {
        void *tag = nullptr;
        bool ok = false;
        const auto status = waitForEvent(&tag, &ok, deadline);
        if (status == grpc::CompletionQueue::TIMEOUT) {
            m_context.TryCancel();
            m_queue.Next(&tag, &ok);
            ok = false;
        }
        m_usable = m_usable && ok;
        return ok;
    }

    // Waits for one event until the deadline or until the call is abandoned.
    grpc::CompletionQueue::NextStatus waitForEvent(void **tag, bool *ok, Instant deadline)
    {
        while (true) {
            const Instant until =
                m_abandoned ? std::min(deadline, steadyNow() + AbandonPollInterval) : deadline;
            const auto status = m_queue.AsyncNext(tag, ok, wallTimeOf(until));
            const bool isOver = until >= deadline || (m_abandoned && m_abandoned());
            if (status != grpc::CompletionQueue::TIMEOUT || isOver) {
                return status;
            }
        }
    }

    void finishStream()
    {
        grpc::Status status;
        m_stream->Finish(&status, this);
        void *tag = nullptr;
        bool ok = false;
        m_queue.Next(&tag, &ok);
        m_queue.Shutdown();
        while (m_queue.Next(&tag, &ok)) {
        }
    }

    std::unique_ptr<target::v1::Member::Stub> m_stub;
    grpc::ClientContext m_context;
    grpc::CompletionQueue m_queue;
    std::unique_ptr<Stream> m_stream;
    uint64_t m_attempt = 0;
    bool m_usable = true;
    std::function<bool()> m_abandoned;
};

class GrpcMemberConnector : public MemberConnector
{
public:
    explicit GrpcMemberConnector(ChannelFactory &channels)
        : m_channels(channels)
    {}

    tl::expected<std::unique_ptr<MemberConnection>, MemberError> connect(const std::string &address,
                                                                         Instant deadline) override
    {
        auto connection = std::make_unique<GrpcMemberConnection>(m_channels.channelTo(address));
        if (!connection->open(deadline)) {
            return tl::unexpected(MemberError{MemberFault::NotSent,
                                              target::v1::FAILURE_KIND_UNSPECIFIED,
                                              "could not open a connection to " + address});
        }
        return connection;
    }

private:
    ChannelFactory &m_channels;
};

} // namespace

std::unique_ptr<MemberConnector> makeGrpcMemberConnector(ChannelFactory &channels)
{
    return std::make_unique<GrpcMemberConnector>(channels);
}

} // namespace gentianplank
