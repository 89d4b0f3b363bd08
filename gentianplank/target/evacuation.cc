#include "gentianplank/target/evacuation.h"

#include <algorithm>

namespace gentianplank {

namespace {

// Covers the way of a statement to the member, and the drift between two boot clocks over one
// proof.
constexpr Duration ProofMargin = std::chrono::milliseconds(300);
constexpr int ProofMarginDivisor = 4;
// Reserved for rolling back what is still open.
constexpr Duration RollbackMargin = std::chrono::milliseconds(600);
constexpr Duration MinTransactionTime = std::chrono::seconds(1);

} // namespace

bool applyEvacuationRow(KnownEvacuations &known, const std::string &zone, bool isErased,
                        BootInstant now)
{
    if (!isErased) {
        known.stored.insert(zone);
        known.endedAt.erase(zone);
        return known.inForce.emplace(zone, now).second;
    }
    known.stored.erase(zone);
    if (known.awaitsOperator || known.inForce.erase(zone) == 0) {
        return false;
    }
    known.endedAt[zone] = now;
    return true;
}

std::vector<std::string> proveEvacuations(KnownEvacuations &known, BootInstant now)
{
    std::vector<std::string> ended;
    if (!known.awaitsOperator) {
        return ended;
    }
    known.awaitsOperator = false;
    std::erase_if(known.inForce, [&](const auto &it) {
        if (known.stored.count(it.first) != 0) {
            return false;
        }
        ended.push_back(it.first);
        known.endedAt[it.first] = now;
        return true;
    });
    return ended;
}

Duration evacuationProofLifetime(Duration limit)
{
    return limit - std::min(ProofMargin, limit / ProofMarginDivisor);
}

BootInstant transactionsEndAt(BootInstant learntAt, Duration limit)
{
    return learntAt + std::max(limit - RollbackMargin, MinTransactionTime);
}

SendPermission sendPermission(const EvacuatedZones &zones, std::string_view zone, Duration limit,
                              BootInstant provenAt, bool isOpenTransaction, BootInstant now)
{
    if (limit <= Duration::zero()) {
        return SendPermission::Granted;
    }
    if (now - provenAt >= evacuationProofLifetime(limit)) {
        return SendPermission::ProofTooOld;
    }
    const auto it = zones.find(zone);
    if (it == zones.end() || (isOpenTransaction && now < transactionsEndAt(it->second, limit))) {
        return SendPermission::Granted;
    }
    return SendPermission::Evacuated;
}

} // namespace gentianplank
