#include "gentianplank/store/grpc_platform.h"

#include "gentianplank/proto/platform.grpc.pb.h"

#include <grpcpp/client_context.h>

namespace gentianplank {

namespace {

void setDeadline(grpc::ClientContext &context, Duration timeout)
{
    context.set_deadline(std::chrono::system_clock::now() + timeout);
}

TableRow rowOf(const platform::v1::TableRow &wire)
{
    return {wire.key(), wire.revision(), wire.value()};
}

class GrpcTableStore : public TableStore
{
public:
    explicit GrpcTableStore(const std::shared_ptr<grpc::Channel> &channel)
        : m_stub(platform::v1::TableStore::NewStub(channel))
    {}

    tl::expected<TableRow, StoreError> read(std::string_view key, Duration timeout) override
    {
        grpc::ClientContext context;
        setDeadline(context, timeout);
        platform::v1::ReadRequest request;
        request.set_key(std::string(key));
        platform::v1::ReadReply reply;
        const grpc::Status status = m_stub->Read(&context, request, &reply);
        if (!status.ok()) {
            return tl::unexpected(StoreError::Unavailable);
        }
        return rowOf(reply.row());
    }

    tl::expected<std::vector<TableRow>, StoreError> readRange(std::string_view first,
                                                              std::string_view last, uint32_t limit,
                                                              Duration timeout) override
    {
        grpc::ClientContext context;
        setDeadline(context, timeout);
        platform::v1::ReadRangeRequest request;
        request.set_first(std::string(first));
        request.set_last(std::string(last));
        request.set_limit(limit);
        platform::v1::ReadRangeReply reply;
        const grpc::Status status = m_stub->ReadRange(&context, request, &reply);
        if (!status.ok()) {
            return tl::unexpected(StoreError::Unavailable);
        }
        std::vector<TableRow> rows;
        for (const platform::v1::TableRow &it : reply.rows()) {
            rows.push_back(rowOf(it));
        }
        return rows;
    }

    tl::expected<TransactionResult, StoreError> transact(const TableTransaction &transaction,
                                                         Duration timeout) override
    {
        grpc::ClientContext context;
        setDeadline(context, timeout);
        platform::v1::TransactRequest request;
        for (const TableCondition &it : transaction.conditions) {
            platform::v1::Condition *condition = request.add_conditions();
            condition->set_key(it.key);
            condition->set_revision(it.revision);
        }
        for (const TableWrite &it : transaction.writes) {
            platform::v1::Write *write = request.add_writes();
            write->set_key(it.key);
            write->set_value(it.value);
            write->set_erase(it.erase);
        }
        platform::v1::TransactReply reply;
        const grpc::Status status = m_stub->Transact(&context, request, &reply);
        if (!status.ok()) {
            return tl::unexpected(StoreError::OutcomeUnknown);
        }
        return TransactionResult{reply.committed(), reply.revision(), reply.failed_key()};
    }

private:
    std::unique_ptr<platform::v1::TableStore::Stub> m_stub;
};

class GrpcObjectStore : public ObjectStore
{
public:
    explicit GrpcObjectStore(const std::shared_ptr<grpc::Channel> &channel)
        : m_stub(platform::v1::ObjectStore::NewStub(channel))
    {}

    tl::expected<void, StoreError> put(std::string_view name, std::string_view value,
                                       Duration timeout) override
    {
        grpc::ClientContext context;
        setDeadline(context, timeout);
        platform::v1::PutRequest request;
        request.set_name(std::string(name));
        request.set_value(std::string(value));
        platform::v1::PutReply reply;
        const grpc::Status status = m_stub->Put(&context, request, &reply);
        if (!status.ok()) {
            return tl::unexpected(StoreError::OutcomeUnknown);
        }
        return {};
    }

    tl::expected<std::optional<std::string>, StoreError> get(std::string_view name,
                                                             Duration timeout) override
    {
        grpc::ClientContext context;
        setDeadline(context, timeout);
        platform::v1::GetRequest request;
        request.set_name(std::string(name));
        platform::v1::GetReply reply;
        const grpc::Status status = m_stub->Get(&context, request, &reply);
        if (!status.ok()) {
            return tl::unexpected(StoreError::Unavailable);
        }
        if (!reply.found()) {
            return std::optional<std::string>{};
        }
        return std::optional<std::string>(reply.value());
    }

private:
    std::unique_ptr<platform::v1::ObjectStore::Stub> m_stub;
};

class GrpcVmList : public VmList
{
public:
    explicit GrpcVmList(const std::shared_ptr<grpc::Channel> &channel)
        : m_stub(platform::v1::VmList::NewStub(channel))
    {}

    tl::expected<std::vector<ListedVm>, StoreError> list(Duration timeout) override
    {
        grpc::ClientContext context;
        setDeadline(context, timeout);
        const platform::v1::ListRequest request;
        platform::v1::ListReply reply;
        const grpc::Status status = m_stub->List(&context, request, &reply);
        if (!status.ok()) {
            return tl::unexpected(StoreError::Unavailable);
        }
        std::vector<ListedVm> vms;
        for (const platform::v1::VmEntry &it : reply.vms()) {
            vms.push_back({it.name(), it.address(), {it.zone(), it.region()}, it.leaving()});
        }
        return vms;
    }

private:
    std::unique_ptr<platform::v1::VmList::Stub> m_stub;
};

} // namespace

struct GrpcPlatform::State
{
    GrpcTableStore tables;
    GrpcObjectStore objects;
    GrpcVmList vms;
};

GrpcPlatform::GrpcPlatform(const std::shared_ptr<grpc::Channel> &channel)
    : m_state(new State{GrpcTableStore(channel), GrpcObjectStore(channel), GrpcVmList(channel)})
{}

GrpcPlatform::~GrpcPlatform() = default;

TableStore &GrpcPlatform::tables()
{
    return m_state->tables;
}

ObjectStore &GrpcPlatform::objects()
{
    return m_state->objects;
}

VmList &GrpcPlatform::vms()
{
    return m_state->vms;
}

} // namespace gentianplank
