#include "gentianplank/daemon/admin_service.h"

#include "gentianplank/base/digest.h"

#include <grpcpp/server_context.h>

namespace gentianplank {

namespace {

constexpr Duration StoreTimeout = std::chrono::seconds(2);
constexpr uint32_t HistoryLimit = 1000;

class AdminService : public admin::v1::Administration::Service
{
public:
    explicit AdminService(AdminParts parts)
        : m_parts(std::move(parts))
    {}

    grpc::Status Change(grpc::ServerContext *context, const admin::v1::ChangeRequest *request,
                        admin::v1::ChangeReply *reply) override
    {
        if (!isOperator(*context)) {
            return keyRefused();
        }
        const auto changed = m_parts.configuration.submit(*request, m_parts.vm);
        if (!changed) {
            return refused(changed.error());
        }
        *reply = *changed;
        return grpc::Status::OK;
    }

    grpc::Status SwitchPrimary(grpc::ServerContext *context,
                               const admin::v1::SwitchPrimaryRequest *request,
                               admin::v1::SwitchPrimaryReply *reply) override
    {
        if (!isOperator(*context)) {
            return keyRefused();
        }
        if (!m_parts.switchPrimary) {
            return {grpc::StatusCode::UNIMPLEMENTED, "this VM does not serve the call"};
        }
        const auto switched = m_parts.switchPrimary(*request);
        if (!switched) {
            return refused(switched.error());
        }
        *reply = *switched;
        return grpc::Status::OK;
    }

    grpc::Status GetConfiguration(grpc::ServerContext *context,
                                  const admin::v1::GetConfigurationRequest * /*request*/,
                                  configuration::v1::Document *reply) override
    {
        if (!isOperator(*context)) {
            return keyRefused();
        }
        *reply = m_parts.boards.configuration.get()->document();
        return grpc::Status::OK;
    }

    grpc::Status History(grpc::ServerContext *context, const admin::v1::HistoryRequest *request,
                         admin::v1::HistoryReply *reply) override
    {
        if (!isOperator(*context)) {
            return keyRefused();
        }
        const uint32_t limit = request->limit() == 0 ? HistoryLimit : request->limit();
        const auto changes =
            m_parts.configuration.history(request->after_revision(), limit, StoreTimeout);
        if (!changes) {
            return refused(refuse(Reason::StoreUnavailable, ExecutionOutcome::NotRun,
                                  "the store does not answer"));
        }
        reply->mutable_changes()->Assign(changes->begin(), changes->end());
        return grpc::Status::OK;
    }

    grpc::Status Status(grpc::ServerContext *context, const admin::v1::StatusRequest * /*request*/,
                        admin::v1::StatusReply *reply) override
    {
        if (!isOperator(*context)) {
            return keyRefused();
        }
        reply->set_vm(m_parts.vm);
        const auto configuration = m_parts.boards.configuration.get();
        for (const VmInfo &it : m_parts.boards.vms.get()->vms) {
            admin::v1::VmStatus *vm = reply->add_vms();
            vm->set_vm(it.name);
            vm->set_zone(it.place.zone);
            vm->set_region(it.place.region);
            vm->set_incarnation(it.incarnation);
            vm->set_leaving(it.leaving);
            vm->set_reachable(it.reachable);
            if (it.name == m_parts.vm) {
                vm->set_standing(m_parts.boards.standing.holds(steadyNow()) ? "yes" : "no");
                vm->set_configuration_revision(configuration->revision());
            }
        }
        for (const configuration::v1::Target &it : configuration->document().targets()) {
            addGroup(it.group(), reply);
        }
        return grpc::Status::OK;
    }

private:
    void addGroup(const std::string &group, admin::v1::StatusReply *reply) const
    {
        const auto view = m_parts.groups.view(group);
        if (view == nullptr) {
            return;
        }
        admin::v1::GroupStatus *status = reply->add_groups();
        status->set_group(group);
        status->set_term(highestTerm(*view));
        const MemberView *primary = primaryOf(*view);
        status->set_primary(primary == nullptr ? "" : primary->name);
        for (const MemberView &it : view->members) {
            admin::v1::MemberState *member = status->add_members();
            member->set_member(it.name);
            member->set_role(it.role == Role::Primary ? "primary" : "replica");
            toWire(it.position, member->mutable_position());
            member->set_reachable(it.connected);
            member->set_leaving(it.leaving);
        }
    }

    bool isOperator(const grpc::ServerContext &context) const
    {
        const auto &metadata = context.client_metadata();
        const auto it = metadata.find("authorization");
        if (it == metadata.end()) {
            return false;
        }
        const std::string_view value(it->second.data(), it->second.size());
        return equalInConstantTime(keyDigest(value), keyDigest("Bearer " + m_parts.operatorKey));
    }

    grpc::Status keyRefused() const
    {
        return refused(
            refuse(Reason::KeyRefused, ExecutionOutcome::NotRun, "the operator's key is refused"));
    }

    grpc::Status refused(Refusal refusal) const
    {
        refusal.vm = m_parts.vm;
        return toStatus(refusal);
    }

    AdminParts m_parts;
};

} // namespace

std::unique_ptr<admin::v1::Administration::Service> makeAdminService(AdminParts parts)
{
    return std::make_unique<AdminService>(std::move(parts));
}

} // namespace gentianplank
