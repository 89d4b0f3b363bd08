#include "gentianplank/vm/duty_succession.h"

namespace gentianplank {

bool mayClaimDuty(const DutyHolderStatus &standing, BootInstant now)
{
    const Duration turn = DutyHolderProbeInterval * static_cast<int64_t>(standing.rank);
    if (standing.isGone) {
        return now - standing.goneSince >= turn;
    }
    return now - standing.heardAt >= DutyHolderTimeout + turn;
}

} // namespace gentianplank
