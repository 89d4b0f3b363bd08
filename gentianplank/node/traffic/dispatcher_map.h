// The dispatchers of a VM, by the id of their member.
#pragma once

#include "gentianplank/node/traffic/fleet_view.h"
#include "gentianplank/node/traffic/member_dispatcher.h"

#include <map>
#include <memory>
#include <string>

namespace gentianplank {

using DispatcherMap = std::map<std::string, std::shared_ptr<MemberDispatcher>>;

// Removes the dispatchers of members that the view doesn't list. Their statements are answered
// before it returns.
void retireUnlisted(DispatcherMap &dispatchers, const FleetView &view);

} // namespace gentianplank
