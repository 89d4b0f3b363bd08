#include "gentianplank/node/control/control_state.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/base/rendezvous.h"
#include "gentianplank/node/control/duty_writes.h"
#include "gentianplank/vm/duty_succession.h"

#include <algorithm>

namespace gentianplank {

namespace asio = boost::asio;

namespace {

// The number of VMs next in the ranking that probe the holder.
constexpr size_t DutyCandidates = 3;
// Time to read all rows once after a fleet that starts has settled.
constexpr Duration DutySettleTime = std::chrono::milliseconds(300);
// A promotion is sent at most MaxDutyProofAge after the duty was proven to be held, and its call is
// reset after PromotionTimeout without an answer. A new holder waits out both with
// DutyHandOverDelay, so that a call of the previous holder can't take effect beside its own.
constexpr Duration MaxDutyProofAge = std::chrono::milliseconds(250);
constexpr Duration PromotionTimeout = std::chrono::milliseconds(600);
constexpr Duration DutyHandOverDelay = std::chrono::milliseconds(1000);

} // namespace

bool Control::State::holdsDuty() const
{
    return !isAbsent(dutyVersion) && !isCarriedOver(duty.era, dutyVersion) &&
           duty.holder == settings.name && duty.incarnation == incarnation;
}

std::vector<std::string> Control::State::dutyRanking() const
{
    std::vector<std::string> names;
    for (const auto &[name, record] : vms) {
        if (!record.isLeaving) {
            names.push_back(name);
        }
    }
    return rankByRendezvous(PromotionDutyKey, names);
}

// Acquires the duty when its holder is gone and this VM is next in the ranking.
void Control::State::acquireDutyIfDue()
{
    if (holdsDuty() || isAcquiringDuty || isLeaving || !isFleetSettled()) {
        return;
    }
    const BootInstant now = bootNow();
    auto ranking = dutyRanking();
    const auto holder = vms.find(duty.holder);
    const bool isHolderListed = holder != vms.end() && !holder->second.isLeaving &&
                                holder->second.incarnation == duty.incarnation;
    // In a new era of the store the duty is vacant, and its former holder is the first in line.
    const bool isFromEarlierEra = isCarriedOver(duty.era, dutyVersion);
    const bool isGone = isAbsent(dutyVersion) || !isHolderListed || isFromEarlierEra;
    std::erase(ranking, duty.holder);
    if (isFromEarlierEra && isHolderListed) {
        ranking.insert(ranking.begin(), duty.holder);
    }
    const auto place = std::find(ranking.begin(), ranking.end(), settings.name);
    const auto rank = static_cast<size_t>(place - ranking.begin());
    if (!isGone) {
        holderGoneAt = {};
    } else if (holderGoneAt == BootInstant{}) {
        holderGoneAt = now;
    }
    if (rank >= DutyCandidates && !isGone) {
        return;
    }
    if (!isGone && now - holderProbedAt > DutyHolderProbeInterval) {
        // When this process was suspended, the holder first gets the chance to answer.
        if (now - holderProbedAt > DutyHolderTimeout) {
            holderLastSeenAt = now;
        }
        holderProbedAt = now;
        peer::v1::Frame frame;
        frame.mutable_probe()->set_number(DutyProbe);
        sendToPeer(duty.holder, frame);
    }
    // In a fleet that starts, a VM counts its delay from the time the other VMs are known.
    const BootInstant settledAt =
        wasRegisteredBeforeStart ? startedAt : startedAt + FleetSettleTime + DutySettleTime;
    const DutyHolderStatus holderStatus{isGone, std::max(holderGoneAt, settledAt), holderLastSeenAt,
                                        rank};
    if (mayClaimDuty(holderStatus, now)) {
        acquireDuty();
    }
}

void Control::State::acquireDuty()
{
    isAcquiringDuty = true;
    const auto holder = vms.find(duty.holder);
    const bool hasHolderEnded =
        isAbsent(dutyVersion) ||
        (holder != vms.end() && holder->second.incarnation != duty.incarnation);
    // The row may have come back from an older copy and hide a later holder.
    mayPromoteImmediately = hasHolderEnded && bootNow() - newEraAt > DutyHandOverDelay;
    // Only holders write groups' records, and the condition shows that the era had none before.
    const bool isFirstOfEra = isAbsent(dutyVersion) || isCarriedOver(duty.era, dutyVersion);
    const DutyRecord acquired{settings.name, incarnation, fleetFollower->version().era,
                              routing ? routing->revision : 0};
    RowTransaction transaction;
    transaction.conditions.push_back({FleetTable, PromotionDutyKey, dutyVersion});
    transaction.writes.push_back(
        {FleetTable, PromotionDutyKey, encodeDutyRecord(acquired), {}, false});
    logEvent("duty.take", {{"from", duty.holder}, {"row_version", toString(dutyVersion)}});
    store.change(std::move(transaction), StoreTimeout,
                 [this, acquired, isFirstOfEra](const RowResult<StoreVersion> &result) {
                     recordDutyAcquired(isFirstOfEra);
                     if (result && *result > dutyVersion) {
                         duty = acquired;
                         dutyVersion = *result;
                     }
                     // If the outcome is unknown, the feed shows which VM holds the duty.
                     schedule(StoreRetryDelay, [this] { isAcquiringDuty = false; });
                 });
}

// Promotions and records of an earlier holder of the same era may still take effect for a while.
void Control::State::recordDutyAcquired(bool isFirstOfEra)
{
    dutyAcquiredAt = bootNow();
    earlierHolderWroteUntil = isFirstOfEra ? BootInstant{} : dutyAcquiredAt;
}

// Calls the platform only right after a read or a write has proven that the duty is still held and
// that the group's row is the one that the change is based on.
void Control::State::promote(const std::string &group, const StoreVersion &version,
                             const std::string &member, BootInstant provenAt,
                             std::function<void(platform::PromotionReply, std::string)> done)
{
    const bool isWithinHandOver =
        !mayPromoteImmediately && bootNow() - dutyAcquiredAt < DutyHandOverDelay;
    if (!holdsDuty() || isWithinHandOver) {
        done(platform::PromotionReply::NotDone,
             "the promotion duty is not held, or not yet for long enough");
        return;
    }
    if (bootNow() - provenAt <= MaxDutyProofAge) {
        platform::requestPromotion(promotionClient, group, member, settings.name,
                                   toOrderedNumber(dutyVersion), PromotionTimeout, std::move(done));
        return;
    }
    const BootInstant sentAt = bootNow();
    store.read({FleetTable, PromotionDutyKey}, StoreTimeout,
               [this, group, version, member, sentAt,
                done = std::move(done)](const RowResult<RowSet> &result) {
                   const bool isProven = result && holdsDuty() &&
                                         allowsPromotion(*result, dutyVersion, group, version);
                   if (!isProven || bootNow() - sentAt > MaxDutyProofAge) {
                       done(platform::PromotionReply::NotDone,
                            "could not prove in time that the duty is held and the group's record "
                            "is unchanged");
                       return;
                   }
                   platform::requestPromotion(promotionClient, group, member, settings.name,
                                              toOrderedNumber(dutyVersion), PromotionTimeout, done);
               });
}

void Control::State::superviseVms()
{
    std::vector<std::string> names;
    for (const auto &[name, record] : vms) {
        if (name != settings.name) {
            names.push_back(name);
        }
    }
    const BootInstant now = bootNow();
    for (const std::string &name : vmsToProbe(vmLiveness, names, now)) {
        peer::v1::Frame frame;
        frame.mutable_probe()->set_number(LivenessProbe);
        sendToPeer(name, frame);
    }
    for (const std::string &name : removeUnresponsiveVms(vmLiveness, now)) {
        eraseVm(name);
    }
}

void Control::State::eraseVm(const std::string &name)
{
    const std::string key = std::string(VmKeyPrefix) + name;
    const auto row = fleetFollower->rows().find(key);
    if (row == fleetFollower->rows().end()) {
        return;
    }
    logEvent("vm.gone", {{"vm", name}, {"row_version", toString(row->second.version)}});
    // If the outcome is unknown, the feed shows whether the row still exists, and the VM is probed
    // again.
    store.change(vmRowErasure(name, row->second.version, dutyVersion), StoreTimeout,
                 [name](const RowResult<StoreVersion> &result) {
                     if (!result) {
                         logEvent("vm.gone_failed", {{"vm", name}, {"why", result.error().what}});
                     }
                 });
}

} // namespace gentianplank
