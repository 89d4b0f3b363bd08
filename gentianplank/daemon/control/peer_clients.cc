#include "gentianplank/daemon/control/peer_clients.h"

#include "gentianplank/proto/vm.grpc.pb.h"

#include <grpcpp/client_context.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

namespace gentianplank {

namespace {

// Owns what gRPC accesses until the call has ended.
template <typename Request, typename Reply>
struct Call
{
    grpc::ClientContext context;
    Request request;
    Reply reply;
};

} // namespace

struct PeerClients::State
{
    State(ControlLoop &controlLoop, ChannelFactory &factory)
        : loop(controlLoop)
        , channels(factory)
    {}

    vm::v1::Peer::Stub &stubFor(const std::string &address)
    {
        std::unique_ptr<vm::v1::Peer::Stub> &stub = stubs[address];
        if (stub == nullptr) {
            stub = vm::v1::Peer::NewStub(channels.channelTo(address));
        }
        return *stub;
    }

    void finish(grpc::ClientContext *context)
    {
        const std::lock_guard lock(mutex);
        outstanding.erase(context);
        idle.notify_all();
    }

    template <typename Request, typename Reply, typename Method>
    void start(const std::string &address, const Request &request, Duration timeout, Method method,
               ReplyCallback<Reply> onReply)
    {
        auto call = std::make_shared<Call<Request, Reply>>();
        call->request = request;
        call->context.set_deadline(std::chrono::system_clock::now() + timeout);
        vm::v1::Peer::Stub *stub = nullptr;
        {
            const std::lock_guard lock(mutex);
            if (stopping) {
                return;
            }
            stub = &stubFor(address);
            outstanding.insert(&call->context);
        }
        const auto done = [this, call, onReply = std::move(onReply)](const grpc::Status &status) {
            loop.post([call, onReply, ok = status.ok()] { onReply(ok ? &call->reply : nullptr); });
            finish(&call->context);
        };
        method(*stub->async(), *call, done);
    }

    ControlLoop &loop;
    ChannelFactory &channels;
    std::mutex mutex;
    std::condition_variable idle;
    std::map<std::string, std::unique_ptr<vm::v1::Peer::Stub>> stubs;
    std::set<grpc::ClientContext *> outstanding;
    bool stopping = false;
};

PeerClients::PeerClients(ControlLoop &loop, ChannelFactory &channels)
    : m_state(std::make_unique<State>(loop, channels))
{}

PeerClients::~PeerClients()
{
    std::unique_lock lock(m_state->mutex);
    m_state->stopping = true;
    for (grpc::ClientContext *it : m_state->outstanding) {
        it->TryCancel();
    }
    m_state->idle.wait(lock, [this] { return m_state->outstanding.empty(); });
}

void PeerClients::heartbeat(const std::string &address, const vm::v1::HeartbeatRequest &request,
                            Duration timeout, ReplyCallback<vm::v1::HeartbeatReply> onReply)
{
    const auto method = [](auto &stub, auto &call, const auto &done) {
        stub.Heartbeat(&call.context, &call.request, &call.reply, done);
    };
    m_state->start(address, request, timeout, method, std::move(onReply));
}

void PeerClients::witness(const std::string &address, const vm::v1::WitnessRequest &request,
                          Duration timeout, ReplyCallback<vm::v1::WitnessReply> onReply)
{
    const auto method = [](auto &stub, auto &call, const auto &done) {
        stub.Witness(&call.context, &call.request, &call.reply, done);
    };
    m_state->start(address, request, timeout, method, std::move(onReply));
}

void PeerClients::fetchChanges(const std::string &address,
                               const vm::v1::FetchChangesRequest &request, Duration timeout,
                               ReplyCallback<vm::v1::FetchChangesReply> onReply)
{
    const auto method = [](auto &stub, auto &call, const auto &done) {
        stub.FetchChanges(&call.context, &call.request, &call.reply, done);
    };
    m_state->start(address, request, timeout, method, std::move(onReply));
}

} // namespace gentianplank
