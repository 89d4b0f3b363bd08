// The client of gentianplankctl for a VM and for the stand-in, as an interface that tests fake.
//
//     auto client = makeGrpcClient(options);
//     auto reply = client->execute(request);
#pragma once

#include "gentianplank/base/refusal.h"
#include "gentianplank/proto/admin.pb.h"
#include "gentianplank/proto/caller.pb.h"
#include "gentianplank/proto/standin.pb.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

namespace gentianplank {

// Addresses, credentials and deadline of the client's calls.
struct ClientOptions
{
    // Addresses as "IP:port".
    std::string vm;
    std::string standin;
    // The caller's or operator's key, sent as a bearer token; empty sends none.
    std::string key;
    // PEM file of the CA that issues the VMs' certificates; empty for plain text. The stand-in is
    // always called in plain text.
    std::string authorityFile;
    // Deadline of each call, and of a transaction from its begin to its end.
    Duration timeout = std::chrono::seconds(10);
};

// An open transaction. Destruction without a commit rolls it back. Not thread-safe.
class TransactionCall
{
public:
    virtual ~TransactionCall() = default;

    // Sends one step and waits for its reply. After an error, every further step fails. The outcome
    // of a commit whose stream fails is Unknown, that of other steps NotRun.
    virtual tl::expected<caller::v1::TransactReply, Refusal>
    step(const caller::v1::TransactRequest &request) = 0;
};

using ChunkHandler = std::function<void(const common::v1::Chunk &)>;

// Calls block until the reply or the deadline. Errors are typed refusals; a unary call whose
// transport fails has the outcome Unknown. Not thread-safe.
class Client
{
public:
    virtual ~Client() = default;

    virtual tl::expected<caller::v1::ExecuteReply, Refusal>
    execute(const caller::v1::ExecuteRequest &request) = 0;

    // Passes each chunk to `onChunk` as it arrives. Succeeds only when the digest of all rows
    // matches the one at the end of the stream; chunks may have been passed on before an error.
    virtual tl::expected<caller::v1::PullEnd, Refusal>
    pull(const caller::v1::ExecuteRequest &request, const ChunkHandler &onChunk) = 0;

    virtual tl::expected<std::unique_ptr<TransactionCall>, Refusal>
    begin(const caller::v1::Begin &begin) = 0;

    virtual tl::expected<admin::v1::ChangeReply, Refusal>
    change(const admin::v1::ChangeRequest &request) = 0;
    virtual tl::expected<admin::v1::SwitchPrimaryReply, Refusal>
    switchPrimary(const admin::v1::SwitchPrimaryRequest &request) = 0;
    virtual tl::expected<admin::v1::StatusReply, Refusal> status() = 0;
    virtual tl::expected<admin::v1::HistoryReply, Refusal>
    history(const admin::v1::HistoryRequest &request) = 0;
    virtual tl::expected<configuration::v1::Document, Refusal> configuration() = 0;

    // Injects faults into the stand-in, which replaces the platform in tests.
    virtual tl::expected<standin::v1::FaultReply, Refusal>
    setFault(const standin::v1::FaultRequest &request) = 0;
    virtual tl::expected<standin::v1::ReceivedReply, Refusal> received() = 0;
};

// Returns a client that calls over gRPC and connects at the first call.
std::unique_ptr<Client> makeGrpcClient(const ClientOptions &options);

} // namespace gentianplank
