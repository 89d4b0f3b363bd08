#include "gentianplank/vm/duty_succession.h"

namespace gentianplank {

bool mayClaimDuty(const DutyHolderStatus &status, BootInstant now)
{
    const Duration delay = DutyHolderProbeInterval * static_cast<int64_t>(status.successionRank);
    if (status.isVacant) {
        return now - status.vacantSince >= delay;
    }
    return now - status.lastHeardAt >= DutyHolderTimeout + delay;
}

} // namespace gentianplank
