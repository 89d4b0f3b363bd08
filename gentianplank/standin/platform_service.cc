#include "gentianplank/standin/platform_service.h"

#include "gentianplank/proto/platform.grpc.pb.h"
#include "gentianplank/proto/standin.grpc.pb.h"
#include "gentianplank/standin/tables.h"

#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace gentianplank {

namespace {

namespace wire = platform::v1;

constexpr std::chrono::milliseconds FaultPollInterval{20};

// The stored rows and objects, and the store fault in force.
struct PlatformState
{
    std::mutex mutex;
    Tables tables;
    std::map<std::string, std::string> objects;
    standin::v1::StoreFault fault;
};

// Fault state of one listen address.
struct Endpoint
{
    std::atomic<bool> isCut{false};
};

// Applies the store faults to a call: blocks while the store is down or the address is cut off,
// then adds the simulated latency. Returns false if the caller cancels while blocked.
bool applyStoreFaults(PlatformState &state, const Endpoint &endpoint,
                      const grpc::ServerContext &context)
{
    uint32_t slowMs = 0;
    while (true) {
        {
            const std::lock_guard lock(state.mutex);
            slowMs = state.fault.slow_ms();
            if (!state.fault.down() && !endpoint.isCut) {
                break;
            }
        }
        if (context.IsCancelled()) {
            return false;
        }
        std::this_thread::sleep_for(FaultPollInterval);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(slowMs));
    return true;
}

void toWire(const TableRow &row, wire::TableRow *out)
{
    out->set_key(row.key);
    out->set_revision(row.revision);
    out->set_value(row.value);
}

class TableStoreService : public wire::TableStore::Service
{
public:
    TableStoreService(PlatformState &state, const Endpoint &endpoint)
        : m_state(state)
        , m_endpoint(endpoint)
    {}

    grpc::Status Read(grpc::ServerContext *context, const wire::ReadRequest *request,
                      wire::ReadReply *reply) override
    {
        if (!applyStoreFaults(m_state, m_endpoint, *context)) {
            return grpc::Status::CANCELLED;
        }
        const std::lock_guard lock(m_state.mutex);
        toWire(readRow(m_state.tables, request->key()), reply->mutable_row());
        return grpc::Status::OK;
    }

    grpc::Status ReadRange(grpc::ServerContext *context, const wire::ReadRangeRequest *request,
                           wire::ReadRangeReply *reply) override
    {
        if (!applyStoreFaults(m_state, m_endpoint, *context)) {
            return grpc::Status::CANCELLED;
        }
        const std::lock_guard lock(m_state.mutex);
        for (const TableRow &it :
             readRows(m_state.tables, request->first(), request->last(), request->limit())) {
            toWire(it, reply->add_rows());
        }
        return grpc::Status::OK;
    }

    grpc::Status Transact(grpc::ServerContext *context, const wire::TransactRequest *request,
                          wire::TransactReply *reply) override
    {
        if (!applyStoreFaults(m_state, m_endpoint, *context)) {
            return grpc::Status::CANCELLED;
        }
        TableTransaction transaction;
        for (const wire::Condition &it : request->conditions()) {
            transaction.conditions.push_back({it.key(), it.revision()});
        }
        for (const wire::Write &it : request->writes()) {
            transaction.writes.push_back({it.key(), it.value(), it.erase()});
        }
        const std::lock_guard lock(m_state.mutex);
        const TransactionResult result = applyTransaction(m_state.tables, transaction);
        if (m_state.fault.lose_answers() > 0) {
            m_state.fault.set_lose_answers(m_state.fault.lose_answers() - 1);
            return {grpc::StatusCode::UNAVAILABLE,
                    "simulated fault: the transaction was processed, but its answer is lost"};
        }
        reply->set_committed(result.committed);
        reply->set_revision(result.revision);
        reply->set_failed_key(result.failedKey);
        return grpc::Status::OK;
    }

private:
    PlatformState &m_state;
    const Endpoint &m_endpoint;
};

class ObjectStoreService : public wire::ObjectStore::Service
{
public:
    ObjectStoreService(PlatformState &state, const Endpoint &endpoint)
        : m_state(state)
        , m_endpoint(endpoint)
    {}

    grpc::Status Put(grpc::ServerContext *context, const wire::PutRequest *request,
                     wire::PutReply * /*reply*/) override
    {
        if (!applyStoreFaults(m_state, m_endpoint, *context)) {
            return grpc::Status::CANCELLED;
        }
        const std::lock_guard lock(m_state.mutex);
        m_state.objects[request->name()] = request->value();
        return grpc::Status::OK;
    }

    grpc::Status Get(grpc::ServerContext *context, const wire::GetRequest *request,
                     wire::GetReply *reply) override
    {
        if (!applyStoreFaults(m_state, m_endpoint, *context)) {
            return grpc::Status::CANCELLED;
        }
        const std::lock_guard lock(m_state.mutex);
        const auto it = m_state.objects.find(request->name());
        reply->set_found(it != m_state.objects.end());
        if (reply->found()) {
            reply->set_value(it->second);
        }
        return grpc::Status::OK;
    }

private:
    PlatformState &m_state;
    const Endpoint &m_endpoint;
};

class FaultService : public standin::v1::Faults::Service
{
public:
    FaultService(PlatformState &state, std::vector<GroupServers *> groups)
        : m_state(state)
        , m_groups(std::move(groups))
    {}

    grpc::Status Set(grpc::ServerContext * /*context*/, const standin::v1::FaultRequest *request,
                     standin::v1::FaultReply * /*reply*/) override
    {
        if (request->has_store()) {
            const std::lock_guard lock(m_state.mutex);
            m_state.fault = request->store();
            return grpc::Status::OK;
        }
        const auto it = std::find_if(m_groups.begin(), m_groups.end(), [&](const auto *group) {
            return group->group() == request->member().group();
        });
        if (it == m_groups.end() || !(*it)->setFault(request->member())) {
            return {grpc::StatusCode::NOT_FOUND, "no member with this name in this group"};
        }
        return grpc::Status::OK;
    }

    grpc::Status Received(grpc::ServerContext * /*context*/,
                          const standin::v1::ReceivedRequest * /*request*/,
                          standin::v1::ReceivedReply *reply) override
    {
        for (const GroupServers *group : m_groups) {
            for (const std::string &it : group->received()) {
                reply->add_requests(it);
            }
        }
        return grpc::Status::OK;
    }

private:
    PlatformState &m_state;
    std::vector<GroupServers *> m_groups;
};

// A gRPC server for the platform on one listen address. `server` is null if it couldn't be bound.
struct EndpointServer
{
    EndpointServer(const std::string &address, PlatformState &platform, FaultService &faults)
        : tables(platform, endpoint)
        , objects(platform, endpoint)
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address, grpc::InsecureServerCredentials());
        builder.RegisterService(&tables);
        builder.RegisterService(&objects);
        builder.RegisterService(&vms);
        builder.RegisterService(&faults);
        server = builder.BuildAndStart();
    }

    ~EndpointServer()
    {
        if (server != nullptr) {
            server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(100));
        }
    }

    Endpoint endpoint;
    TableStoreService tables;
    ObjectStoreService objects;
    wire::VmList::Service vms;
    std::unique_ptr<grpc::Server> server;
};

} // namespace

struct PlatformServer::State
{
    explicit State(std::vector<GroupServers *> groups)
        : faults(platform, std::move(groups))
    {}

    PlatformState platform;
    FaultService faults;
    std::map<std::string, std::unique_ptr<EndpointServer>> endpoints;
};

PlatformServer::PlatformServer(const std::string &address, std::vector<GroupServers *> groups)
    : m_state(std::make_unique<State>(std::move(groups)))
{
    addAddress(address);
}

PlatformServer::~PlatformServer() = default;

void PlatformServer::addAddress(const std::string &address)
{
    m_state->endpoints[address] =
        std::make_unique<EndpointServer>(address, m_state->platform, m_state->faults);
}

void PlatformServer::setCut(const std::string &address, bool isCut)
{
    m_state->endpoints.at(address)->endpoint.isCut = isCut;
}

bool PlatformServer::isListening() const
{
    return std::all_of(m_state->endpoints.begin(), m_state->endpoints.end(),
                       [](const auto &it) { return it.second->server != nullptr; });
}

} // namespace gentianplank
