#include "gentianplank/node/control/control_state.h"

#include "gentianplank/base/event_log.h"
#include "gentianplank/base/rendezvous.h"
#include "gentianplank/node/control/duty_writes.h"
#include "gentianplank/vm/duty_succession.h"

#include <algorithm>

namespace gentianplank {

namespace asio = boost::asio;

namespace {

// Of VMs in line, those that ask the holder for signs of life.
constexpr size_t DutyCandidates = 3;
// In a fleet that starts, the first reading of all rows takes this long after it settled.
constexpr Duration DutySettle = std::chrono::milliseconds(300);
// A promotion is sent at most this long after the proof that the duty is held, and reset when it
// has no answer after the second figure; whoever takes the duty over waits for both.
constexpr Duration DutyProofAge = std::chrono::milliseconds(250);
constexpr Duration PromotionTimeout = std::chrono::milliseconds(600);
constexpr Duration DutyHandOver = std::chrono::milliseconds(1000);

} // namespace

bool Control::State::holdsDuty() const
{
    return dutyVersion != 0 && duty.holder == settings.name && duty.incarnation == incarnation;
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

// Takes the duty when its holder is gone and this VM is next in line.
void Control::State::considerDuty()
{
    if (holdsDuty() || isTakingDuty || isLeaving || !isFleetSettled()) {
        return;
    }
    const BootInstant now = bootNow();
    auto ranking = dutyRanking();
    const auto holder = vms.find(duty.holder);
    const bool isGone = dutyVersion == 0 || holder == vms.end() || holder->second.isLeaving ||
                        holder->second.incarnation != duty.incarnation;
    std::erase(ranking, duty.holder);
    const auto place = std::find(ranking.begin(), ranking.end(), settings.name);
    const auto rank = static_cast<size_t>(place - ranking.begin());
    if (rank >= DutyCandidates && !isGone) {
        return;
    }
    if (!isGone && now - holderAskedAt > DutyHolderProbeInterval) {
        // After a pause of this process, the holder first gets the chance to answer.
        if (now - holderAskedAt > DutyHolderTimeout) {
            holderHeardAt = now;
        }
        holderAskedAt = now;
        peer::v1::Frame frame;
        frame.mutable_probe()->set_number(DutyProbe);
        sendToPeer(duty.holder, frame);
    }
    if (!isGone) {
        holderGoneAt = {};
    } else if (holderGoneAt == BootInstant{}) {
        holderGoneAt = now;
    }
    // In a fleet that starts, each waits its turn from when the others are known.
    const BootInstant settledAt =
        wasRegisteredBeforeStart ? startedAt : startedAt + FleetSettle + DutySettle;
    const DutyHolderStatus standing{isGone, std::max(holderGoneAt, settledAt), holderHeardAt, rank};
    if (mayClaimDuty(standing, now)) {
        takeDuty();
    }
}

void Control::State::takeDuty()
{
    isTakingDuty = true;
    const auto holder = vms.find(duty.holder);
    mayPromoteAtOnce =
        dutyVersion == 0 || (holder != vms.end() && holder->second.incarnation != duty.incarnation);
    RowTransaction transaction;
    transaction.conditions.push_back({FleetTable, PromotionDutyKey, dutyVersion});
    transaction.writes.push_back(
        {FleetTable, PromotionDutyKey, encodeDutyRecord({settings.name, incarnation}), 0, false});
    logEvent("duty.take", {{"from", duty.holder}, {"token", dutyVersion}});
    store.change(std::move(transaction), StoreTimeout, [this](const RowResult<uint64_t> &result) {
        dutyTakenAt = bootNow();
        if (result) {
            duty = {settings.name, incarnation};
            dutyVersion = *result;
        }
        // Without an answer, the feed shows who holds it.
        schedule(StoreRetryPause, [this] { isTakingDuty = false; });
    });
}

// Calls the platform only with a proof made just before that the duty is still held, and that the
// group's row is the one that the change stands on.
void Control::State::promote(const std::string &group, uint64_t version, const std::string &member,
                             std::function<void(platform::PromotionAnswer, std::string)> done)
{
    const bool isTooEarly = !mayPromoteAtOnce && bootNow() - dutyTakenAt < DutyHandOver;
    if (!holdsDuty() || isTooEarly) {
        done(platform::PromotionAnswer::NotDone, "the duty is not held long enough");
        return;
    }
    const BootInstant sentAt = bootNow();
    store.read({FleetTable, PromotionDutyKey}, StoreTimeout,
               [this, group, version, member, sentAt,
                done = std::move(done)](const RowResult<RowSet> &result) {
                   const bool isProven = result && holdsDuty() &&
                                         allowsPromotion(*result, dutyVersion, group, version);
                   if (!isProven || bootNow() - sentAt > DutyProofAge) {
                       done(platform::PromotionAnswer::NotDone,
                            "the duty, or the group's record, could not be proven");
                       return;
                   }
                   platform::callPromotion(promotionCaller, group, member, settings.name,
                                           dutyVersion, PromotionTimeout, done);
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
    for (const std::string &name : vmsToProbe(absence, names, now)) {
        peer::v1::Frame frame;
        frame.mutable_probe()->set_number(LifeProbe);
        sendToPeer(name, frame);
    }
    for (const std::string &name : removeUnresponsiveVms(absence, now)) {
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
    logEvent("vm.gone", {{"vm", name}, {"row_version", row->second.version}});
    // Without an answer, the feed shows whether the row is there, and the VM is asked again.
    store.change(vmRowErasure(name, row->second.version, dutyVersion), StoreTimeout,
                 [name](const RowResult<uint64_t> &result) {
                     if (!result) {
                         logEvent("vm.gone_failed", {{"vm", name}, {"why", result.error().what}});
                     }
                 });
}

} // namespace gentianplank
