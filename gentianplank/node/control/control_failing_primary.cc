#include "gentianplank/node/control/control_state.h"

#include "gentianplank/base/event_log.h"

namespace gentianplank {

namespace {

// The number of VMs that are asked what their statements saw of a primary. Few VMs sent it one in
// the last seconds.
constexpr size_t WitnessesPerZone = 16;
constexpr size_t MaxWitnesses = 64;
constexpr Duration TestimonyTimeout = std::chrono::milliseconds(300);
// A failing primary is reported, or checked, at most once in this time.
constexpr Duration MinReportInterval = std::chrono::milliseconds(500);

} // namespace

// Reports a primary that fails its statements to the holder of the duty, or checks it when that is
// this VM.
void Control::State::handleFailingPrimary(const std::string &group, const std::string &member,
                                          const Evidence &evidence)
{
    const auto it = groups.find(group);
    if (it == groups.end() || it->second.record.primary != member ||
        it->second.record.phase != GroupPhase::Serving) {
        return;
    }
    const BootInstant now = bootNow();
    if (now - it->second.failingReportedAt < MinReportInterval) {
        return;
    }
    it->second.failingReportedAt = now;
    if (holdsDuty()) {
        collectTestimonies(group, member);
        return;
    }
    peer::v1::Frame frame;
    frame.mutable_suspicion()->set_group(group);
    frame.mutable_suspicion()->set_member(member);
    frame.mutable_suspicion()->set_statements(static_cast<uint32_t>(evidence.statements));
    frame.mutable_suspicion()->set_failures(static_cast<uint32_t>(evidence.failures));
    sendToPeer(duty.holder, frame);
}

// Asks VMs of all zones what their own statements saw of the primary.
void Control::State::collectTestimonies(const std::string &group, const std::string &member)
{
    GroupState &state = groups[group];
    // A new process doesn't know when the last change was.
    const bool isTooSoon =
        bootNow() - std::max(state.primaryChangedAt, startedAt) < MinFailingChangeInterval;
    if (isTooSoon || state.change || state.isCheckingReachability) {
        return;
    }
    const uint64_t check = nextProbe++;
    TestimonyCheck &collected = testimonyChecks[check];
    collected.group = group;
    collected.member = member;
    peer::v1::Frame frame;
    frame.mutable_probe()->set_number(check);
    frame.mutable_probe()->set_group(group);
    frame.mutable_probe()->set_member(member);
    frame.mutable_probe()->set_asks_evidence(true);
    std::map<std::string, size_t> byZone;
    size_t asked = 0;
    for (const std::string &name : dutyRanking()) {
        if (byZone[vms[name].place.zone]++ < WitnessesPerZone && asked < MaxWitnesses) {
            ++asked;
            sendToPeer(name, frame);
        }
    }
    for (const auto &[id, known] : members) {
        if (known.entry.group != group || id == member || known.entry.isLeaving) {
            continue;
        }
        probeMember(ioContext, known.entry, [this, check](const MemberProbe &probe) {
            const auto it = testimonyChecks.find(check);
            if (it != testimonyChecks.end() && probe.status) {
                it->second.otherAnsweredStatus = true;
            }
        });
    }
    schedule(TestimonyTimeout, [this, check] { endTestimonies(check); });
}

void Control::State::recordTestimony(const std::string &vm, const peer::v1::ProbeAnswer &answer)
{
    const auto it = testimonyChecks.find(answer.number());
    const auto sender = vms.find(vm);
    if (it == testimonyChecks.end() || sender == vms.end()) {
        return;
    }
    it->second.testimonies[vm] = {
        sender->second.place.zone,
        {static_cast<double>(answer.statements()), static_cast<double>(answer.failures()), 0},
        {static_cast<double>(answer.other_statements()),
         static_cast<double>(answer.other_failures()), 0}};
}

void Control::State::endTestimonies(uint64_t check)
{
    const auto node = testimonyChecks.extract(check);
    if (node.empty()) {
        return;
    }
    const TestimonyCheck &collected = node.mapped();
    std::vector<PrimaryTestimony> testimonies;
    Evidence sum;
    for (const auto &[vm, testimony] : collected.testimonies) {
        testimonies.push_back(testimony);
        sum.statements += testimony.primary.statements;
        sum.failures += testimony.primary.failures;
    }
    const bool isFailing = isPrimaryFailing(testimonies, collected.otherAnsweredStatus);
    GroupState &group = groups[collected.group];
    logEvent("primary.accused", {{"group", collected.group},
                                 {"member", collected.member},
                                 {"answers", testimonies.size()},
                                 {"statements", static_cast<uint32_t>(sum.statements)},
                                 {"failures", static_cast<uint32_t>(sum.failures)},
                                 {"failing", isFailing}});
    const bool isStillServing = group.record.primary == collected.member &&
                                group.record.phase == GroupPhase::Serving && !group.change &&
                                knowsAllWrites(group);
    if (isFailing && isStillServing && holdsDuty()) {
        beginChange(collected.group, ChangeCause::Other,
                    "the primary fails its statements, as VMs of several zones saw");
    }
}

} // namespace gentianplank
