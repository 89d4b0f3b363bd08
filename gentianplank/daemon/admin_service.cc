#include "gentianplank/daemon/admin_service.h"

#include "gentianplank/base/digest.h"

#include <grpcpp/server_context.h>

namespace gentianplank {

namespace {

constexpr Duration HistoryReadTimeout = std::chrono::seconds(2);
// The number of changes returned to a request without a limit.
constexpr uint32_t DefaultHistoryLimit = 1000;

class AdminService : public admin::v1::Administration::Service
{
public:
    explicit AdminService(AdminServiceDependencies dependencies)
        : m_dependencies(std::move(dependencies))
    {}

    grpc::Status Change(grpc::ServerContext *context, const admin::v1::ChangeRequest *request,
                        admin::v1::ChangeReply *reply) override
    {
        if (!isOperator(*context)) {
            return operatorKeyRefused();
        }
        const auto changed = m_dependencies.configuration.submit(*request, m_dependencies.vm);
        if (!changed) {
            return refusalStatus(changed.error());
        }
        *reply = *changed;
        return grpc::Status::OK;
    }

    grpc::Status SwitchPrimary(grpc::ServerContext *context,
                               const admin::v1::SwitchPrimaryRequest *request,
                               admin::v1::SwitchPrimaryReply *reply) override
    {
        if (!isOperator(*context)) {
            return operatorKeyRefused();
        }
        if (!m_dependencies.switchPrimary) {
            return {grpc::StatusCode::UNIMPLEMENTED, "the call is not implemented on this VM"};
        }
        const auto switched = m_dependencies.switchPrimary(*request);
        if (!switched) {
            return refusalStatus(switched.error());
        }
        *reply = *switched;
        return grpc::Status::OK;
    }

    grpc::Status GetConfiguration(grpc::ServerContext *context,
                                  const admin::v1::GetConfigurationRequest * /*request*/,
                                  configuration::v1::Document *reply) override
    {
        if (!isOperator(*context)) {
            return operatorKeyRefused();
        }
        *reply = m_dependencies.fleetState.configuration.get()->document();
        return grpc::Status::OK;
    }

    grpc::Status History(grpc::ServerContext *context, const admin::v1::HistoryRequest *request,
                         admin::v1::HistoryReply *reply) override
    {
        if (!isOperator(*context)) {
            return operatorKeyRefused();
        }
        const uint32_t limit = request->limit() == 0 ? DefaultHistoryLimit : request->limit();
        const auto changes = m_dependencies.configuration.history(request->after_revision(), limit,
                                                                  HistoryReadTimeout);
        if (!changes) {
            return refusalStatus(refuse(Reason::StoreUnavailable, ExecutionOutcome::NotRun,
                                        "the change history can't be read from the store"));
        }
        reply->mutable_changes()->Assign(changes->begin(), changes->end());
        return grpc::Status::OK;
    }

    grpc::Status Status(grpc::ServerContext *context, const admin::v1::StatusRequest * /*request*/,
                        admin::v1::StatusReply *reply) override
    {
        if (!isOperator(*context)) {
            return operatorKeyRefused();
        }
        reply->set_vm(m_dependencies.vm);
        const auto configuration = m_dependencies.fleetState.configuration.get();
        for (const VmInfo &it : m_dependencies.fleetState.vms.get()->vms) {
            admin::v1::VmStatus *vm = reply->add_vms();
            vm->set_vm(it.name);
            vm->set_zone(it.place.zone);
            vm->set_region(it.place.region);
            vm->set_incarnation(it.incarnation);
            vm->set_leaving(it.leaving);
            vm->set_reachable(it.reachable);
            if (it.name == m_dependencies.vm) {
                vm->set_standing(
                    m_dependencies.fleetState.membershipLease.isValid(steadyNow()) ? "yes" : "no");
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
        const auto view = m_dependencies.groups.view(group);
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
        return equalInConstantTime(keyDigest(value),
                                   keyDigest("Bearer " + m_dependencies.operatorKey));
    }

    grpc::Status operatorKeyRefused() const
    {
        return refusalStatus(refuse(Reason::KeyRefused, ExecutionOutcome::NotRun,
                                    "the operator key is missing or wrong"));
    }

    grpc::Status refusalStatus(Refusal refusal) const
    {
        refusal.vm = m_dependencies.vm;
        return toStatus(refusal);
    }

    AdminServiceDependencies m_dependencies;
};

} // namespace

std::unique_ptr<admin::v1::Administration::Service>
makeAdminService(AdminServiceDependencies dependencies)
{
    return std::make_unique<AdminService>(std::move(dependencies));
}

} // namespace gentianplank
