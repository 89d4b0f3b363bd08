#include "gentianplank/daemon/control/fleet_state.h"

namespace gentianplank {

FleetState::FleetState()
    : configuration(std::make_shared<const ConfigurationView>(ConfigurationDocument{}))
    , vms(std::make_shared<const VmDirectory>())
{}

void PublishedLease::extendTo(Instant until)
{
    m_until = until.time_since_epoch().count();
}

void PublishedLease::end()
{
    m_until = 0;
}

bool PublishedLease::isValid(Instant now) const
{
    return now.time_since_epoch().count() < m_until;
}

} // namespace gentianplank
