// Connections to members of a database group, and the interface that opens them.
//
//     auto connection = connector.connect(member.address, deadline);
//     auto done = (*connection)->call(request, deadline);
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/proto/target.pb.h"
#include "gentianplank/store/channel.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

namespace gentianplank {

enum class MemberFault {
    // The member refused the request before it had any effect; `kind` is the reason.
    Refused,
    // The connection broke or the answer missed its deadline: the request may have run.
    Lost,
    // The request wasn't sent, since no connection could be opened.
    NotSent,
};

struct MemberError
{
    MemberFault fault = MemberFault::Lost;
    target::v1::FailureKind kind = target::v1::FAILURE_KIND_UNSPECIFIED;
    std::string message;
};

// Consumes a chunk of a streamed answer; returns false to stop the stream.
using ChunkSink = std::function<bool(const common::v1::Chunk &)>;

// A database connection. Not thread-safe. Unusable after a Lost error.
class MemberConnection
{
public:
    virtual ~MemberConnection() = default;

    // Sends a request and waits for its Done. Sets the request's attempt number; replies to other
    // attempts are dropped.
    virtual tl::expected<target::v1::Done, MemberError> call(target::v1::MemberRequest request,
                                                             Instant deadline) = 0;

    // Sends a request with a chunked answer and passes each chunk to the sink, which may block.
    virtual tl::expected<common::v1::AnswerEnd, MemberError>
    pull(target::v1::MemberRequest request, const ChunkSink &sink, Instant deadline) = 0;

    virtual bool isUsable() const = 0;

    // From now on, an outstanding call ends with a Lost error soon after the predicate holds, even
    // before its deadline. An empty predicate never holds.
    virtual void abandonWhen(std::function<bool()> /*predicate*/) {}
};

// Thread-safe.
class MemberConnector
{
public:
    virtual ~MemberConnector() = default;

    virtual tl::expected<std::unique_ptr<MemberConnection>, MemberError>
    connect(const std::string &address, Instant deadline) = 0;
};

// Returns a connector that opens one gRPC stream for each connection. `channels` must outlive it.
std::unique_ptr<MemberConnector> makeGrpcMemberConnector(ChannelFactory &channels);

} // namespace gentianplank
