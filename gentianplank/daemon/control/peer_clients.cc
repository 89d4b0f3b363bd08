#include "gentianplank/daemon/control/peer_clients.h"

#include "gentianplank/proto/vm.grpc.pb.h"

#include <grpcpp/client_context.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

namespace gentianplank {

namespace {

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
               Then<Reply> then)
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
        const auto done = [this, call, then = std::move(then)](const grpc::Status &status) {
            loop.post([call, then, ok = status.ok()] { then(ok ? &call->reply : nullptr); });
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
                            Duration timeout, Then<vm::v1::HeartbeatReply> then)
{
    const auto method = [](auto &stub, auto &call, const auto &done) {
        stub.Heartbeat(&call.context, &call.request, &call.reply, done);
    };
    m_state->start(address, request, timeout, method, std::move(then));
}

void PeerClients::witness(const std::string &address, const vm::v1::WitnessRequest &request,
                          Duration timeout, Then<vm::v1::WitnessReply> then)
{
    const auto method = [](auto &stub, auto &call, const auto &done) {
        stub.Witness(&call.context, &call.request, &call.reply, done);
    };
    m_state->start(address, request, timeout, method, std::move(then));
}

void PeerClients::fetchChanges(const std::string &address,
                               const vm::v1::FetchChangesRequest &request, Duration timeout,
                               Then<vm::v1::FetchChangesReply> then)
{
    const auto method = [](auto &stub, auto &call, const auto &done) {
        stub.FetchChanges(&call.context, &call.request, &call.reply, done);
    };
    m_state->start(address, request, timeout, method, std::move(then));
}

} // namespace gentianplank
