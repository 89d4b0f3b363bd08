// Implements the administration contract for operators.
#pragma once

#include "gentianplank/daemon/control/configuration_controller.h"
#include "gentianplank/daemon/control/fleet_state.h"
#include "gentianplank/proto/admin.grpc.pb.h"
#include "gentianplank/target/group_view_registry.h"

#include <functional>
#include <memory>
#include <string>

namespace gentianplank {

// What the service uses. The referenced objects outlive it.
struct AdminServiceDependencies
{
    ConfigurationController &configuration;
    FleetState &fleetState;
    GroupViewRegistry &groups;
    std::string vm;
    std::string operatorKey;
    // Moves a group's primary role to another member. Blocks. If not set, SwitchPrimary returns
    // UNIMPLEMENTED.
    std::function<tl::expected<admin::v1::SwitchPrimaryReply, Refusal>(
        const admin::v1::SwitchPrimaryRequest &)>
        switchPrimary;
};

std::unique_ptr<admin::v1::Administration::Service>
makeAdminService(AdminServiceDependencies dependencies);

} // namespace gentianplank
