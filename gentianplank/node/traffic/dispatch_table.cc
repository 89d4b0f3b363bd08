#include "gentianplank/node/traffic/dispatch_table.h"

namespace gentianplank {

void DispatchTable::update(std::shared_ptr<const FleetView> view)
{
    m_view = std::move(view);
    m_ranked.clear();
}

std::span<const VmRecord *const> DispatchTable::dispatchersOf(const std::string &member)
{
    if (!m_view) {
        return {};
    }
    const auto known = m_ranked.find(member);
    if (known != m_ranked.end()) {
        return known->second;
    }
    const auto it = m_view->members.find(member);
    if (it == m_view->members.end()) {
        return {};
    }
    return m_ranked[member] = dispatchersFor(member, it->second.place, m_view->vms);
}

} // namespace gentianplank
