// A connection to a member of a database group, and what makes them.
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
    // The member refused before any effect; `kind` says why.
    Refused,
    // The connection broke or the answer was late: the request may have run.
    Lost,
    // The request never left: no connection could be made.
    NotSent,
};

struct MemberError
{
    MemberFault fault = MemberFault::Lost;
    target::v1::FailureKind kind = target::v1::FAILURE_KIND_UNSPECIFIED;
    std::string message;
};

// Takes a chunk of a streamed answer; returns false to stop the stream.
using ChunkSink = std::function<bool(const common::v1::Chunk &)>;

// One database connection, used by one thread at a time. After a Lost error it is unusable.
class MemberConnection
{
public:
    virtual ~MemberConnection() = default;

    // Sends one request and waits for its Done. The attempt number is filled in here; replies
    // to other attempts are dropped.
    virtual tl::expected<target::v1::Done, MemberError> call(target::v1::MemberRequest request,
                                                             Instant deadline) = 0;

    // Sends one chunked request and hands each chunk to the sink, which may block.
    virtual tl::expected<common::v1::AnswerEnd, MemberError>
    pull(target::v1::MemberRequest request, const ChunkSink &sink, Instant deadline) = 0;

    virtual bool isUsable() const = 0;

    // From now on a call whose answer is outstanding ends as Lost soon after the predicate holds,
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

// Makes connections over gRPC: one stream for each.
std::unique_ptr<MemberConnector> makeGrpcMemberConnector(ChannelFactory &channels);

} // namespace gentianplank
