#include "gentianplank/vm/duty_turn.h"

namespace gentianplank {

bool mayTakeDuty(const DutyStanding &standing, BootInstant now)
{
    const Duration turn = DutyCheckInterval * static_cast<int64_t>(standing.rank);
    if (standing.isGone) {
        return now - standing.goneSince >= turn;
    }
    return now - standing.heardAt >= DutyLost + turn;
}

} // namespace gentianplank
