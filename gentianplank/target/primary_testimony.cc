#include "gentianplank/target/primary_testimony.h"

#include <set>

namespace gentianplank {

namespace {

constexpr double FailingShare = 0.6;
constexpr double GoodShare = 0.3;
// Counts are rounded between VMs.
constexpr double MinStatements = 1;
constexpr size_t MinZones = 2;

} // namespace

bool isWorthReporting(const OutcomeTally &primaryStatements, Instant now)
{
    const Evidence evidence = evidenceOf(primaryStatements, now);
    return evidence.statements >= MinReportedStatements && failureShare(evidence) >= FailingShare &&
           failingOrganisations(primaryStatements, now) >= MinFailingOrganisations;
}

Evidence bestOther(const std::map<std::string, Evidence> &members, const std::string &primary)
{
    Evidence best;
    for (const auto &[id, evidence] : members) {
        const bool isBetter =
            best.statements < MinStatements || failureShare(evidence) < failureShare(best);
        if (id != primary && evidence.statements >= MinStatements && isBetter) {
            best = evidence;
        }
    }
    return best;
}

bool isPrimaryFailing(std::span<const PrimaryTestimony> testimonies, bool otherAnsweredStatus)
{
    size_t witnesses = 0;
    std::set<std::string> zones;
    size_t failing = 0;
    bool isOtherKnown = false;
    bool isOtherWell = false;
    for (const PrimaryTestimony &it : testimonies) {
        const bool sawOther = it.other.statements >= MinStatements;
        isOtherKnown = isOtherKnown || sawOther;
        isOtherWell = isOtherWell || (sawOther && failureShare(it.other) <= GoodShare);
        if (it.primary.statements < MinStatements) {
            continue;
        }
        ++witnesses;
        if (failureShare(it.primary) >= FailingShare) {
            ++failing;
            zones.insert(it.zone);
        }
    }
    isOtherWell = isOtherWell || (!isOtherKnown && otherAnsweredStatus);
    return isOtherWell && zones.size() >= MinZones && 2 * failing > witnesses;
}

} // namespace gentianplank
