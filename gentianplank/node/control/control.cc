#include "gentianplank/node/control/control_state.h"

#include "gentianplank/base/event_log.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace gentianplank {

namespace asio = boost::asio;

namespace {

// An entry that expired during an outage of the store is back within two seconds of its return.
constexpr Duration MemberRemovalDelay = std::chrono::milliseconds(2300);
constexpr Duration TickInterval = std::chrono::milliseconds(100);
// A holder that has not heard from the store for this long does not answer duty probes. Longer than
// the feed's wait, so that a quiet store does not count as lost.
constexpr Duration MaxStoreSilenceForDuty = std::chrono::milliseconds(2300);

} // namespace

void Control::State::tick()
{
    const BootInstant now = bootNow();
    std::vector<std::string> removedMembers;
    for (const auto &[id, since] : missingSince) {
        if (now - since > MemberRemovalDelay && membersProvenAt > since + MemberRemovalDelay / 2) {
            removedMembers.push_back(id);
        }
    }
    for (const std::string &id : removedMembers) {
        missingSince.erase(id);
        noteClaim(members[id].entry, false);
        members.erase(id);
        logEvent("member.gone", {{"member", id}});
        publication.schedule();
    }
    dropLostVms();
    if (!isRegistered && fleetFollower->provenAt() != BootInstant{}) {
        registerVm();
    }
    notifyFollowersOfStoreLoss();
    if (!holdsDuty()) {
        abandonChanges();
    }
    if (isRegistered && !isHandedOver) {
        acquireDutyIfDue();
        if (holdsDuty()) {
            superviseGroups();
            superviseVms();
        }
    }
    tickTimer.expires_after(TickInterval);
    tickTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            tick();
        }
    });
}

void Control::State::handleRequest(const peer::v1::Frame &frame,
                                   const std::function<void(const peer::v1::Frame &)> &reply)
{
    if (frame.has_feed_ask()) {
        relay.handleRequest(frame.feed_ask(), followerOf(frame.feed_ask().table()), reply);
    } else if (frame.has_suspicion() && frame.suspicion().statements() > 0) {
        handleFailingPrimary(frame.suspicion().group(), frame.suspicion().member(),
                             {static_cast<double>(frame.suspicion().statements()),
                              static_cast<double>(frame.suspicion().failures()), 0});
    } else if (frame.has_suspicion()) {
        handleSuspicion(frame.suspicion().group(), frame.suspicion().member());
    } else if (frame.has_probe()) {
        peer::v1::Frame answer;
        answer.mutable_probe_answer()->set_number(frame.probe().number());
        if (frame.probe().asks_evidence()) {
            // The traffic thread adds what its statements saw.
            reply(answer);
            return;
        }
        const auto member = members.find(frame.probe().member());
        if (member == members.end()) {
            // A holder that has lost the store can't perform the duty; its silence lets another VM
            // acquire it.
            const bool hasStore =
                frame.probe().number() == LivenessProbe ||
                (fleetFollower->isReachable() && bootNow() - proofs.fleet < MaxStoreSilenceForDuty);
            if (!frame.probe().member().empty() || hasStore) {
                reply(answer);
            }
            return;
        }
        probeMember(ioContext, member->second.entry,
                    [answer, reply](const MemberProbe &probe) mutable {
                        answer.mutable_probe_answer()->set_reachable(probe.isReachable);
                        reply(answer);
                    });
    } else if (frame.has_epoch_notice()) {
        const auto &notice = frame.epoch_notice();
        uint64_t &announced = groups[notice.group()].announcedEpoch;
        announced = std::max(announced, notice.epoch());
        peer::v1::Frame answer;
        answer.mutable_epoch_released()->set_group(notice.group());
        answer.mutable_epoch_released()->set_epoch(notice.epoch());
        traffic->releasePrimary(notice.group(), notice.epoch(), notice.orderly(),
                                [answer, reply] { reply(answer); });
    }
}

void Control::State::handleReply(const std::string &vm, const peer::v1::Frame &frame)
{
    if (frame.has_feed_answer()) {
        relayedStore.handleAnswer(vm, frame.feed_answer());
    } else if (frame.has_probe_answer()) {
        if (vm == duty.holder && frame.probe_answer().number() == DutyProbe) {
            holderLastSeenAt = bootNow();
        }
        recordVmAlive(vmLiveness, vm);
        recordTestimony(vm, frame.probe_answer());
        const auto it = reachabilityChecks.find(frame.probe_answer().number());
        if (it != reachabilityChecks.end()) {
            const auto check = it->second;
            reachabilityChecks.erase(it);
            recordReachability(check, frame.probe_answer().reachable());
        }
    } else if (frame.has_epoch_released()) {
        const auto it = groups.find(frame.epoch_released().group());
        if (it != groups.end() && it->second.change) {
            it->second.change->handleReleased(vm, frame.epoch_released().epoch());
        }
    }
}

Control::Control(EntryVmSettings settings, uint64_t incarnation)
    : m_state(std::make_shared<State>(std::move(settings), incarnation))
{}

Control::~Control()
{
    join();
}

void Control::handleSuspicion(const std::string &group, const std::string &member)
{
    asio::post(m_state->ioContext,
               [state = m_state, group, member] { state->handleSuspicion(group, member); });
}

void Control::handleFailingPrimary(const std::string &group, const std::string &member,
                                   const Evidence &evidence)
{
    asio::post(m_state->ioContext, [state = m_state, group, member, evidence] {
        state->handleFailingPrimary(group, member, evidence);
    });
}

void Control::handleRequest(const peer::v1::Frame &frame,
                            std::function<void(const peer::v1::Frame &)> reply)
{
    asio::post(m_state->ioContext, [state = m_state, frame, reply = std::move(reply)] {
        state->handleRequest(frame, reply);
    });
}

void Control::handleReply(const std::string &vm, const peer::v1::Frame &frame)
{
    asio::post(m_state->ioContext, [state = m_state, vm, frame] { state->handleReply(vm, frame); });
}

void Control::handlePeerLost(const std::string &vm)
{
    asio::post(m_state->ioContext,
               [state = m_state, vm] { state->relayedStore.handlePeerLost(vm); });
}

void Control::start(Traffic &traffic)
{
    m_state->traffic = &traffic;
    asio::post(m_state->ioContext, [state = m_state] {
        state->startedAt = bootNow();
        state->startFollowing();
        state->tick();
    });
    m_state->thread = std::thread([state = m_state] { state->ioContext.run(); });
}

void Control::leave()
{
    asio::post(m_state->ioContext, [state = m_state] {
        if (state->isLeaving) {
            return;
        }
        state->isLeaving = true;
        logEvent("vm.leaving", {{"vm", state->settings.name}});
        state->relay.stop();
        state->traffic->stop();
    });
}

void Control::handOver()
{
    asio::post(m_state->ioContext, [state = m_state] {
        state->isHandedOver = true;
        state->isRegistered = false;
        state->registerVm();
    });
}

void Control::join()
{
    m_state->ioContext.stop();
    if (m_state->thread.joinable()) {
        m_state->thread.join();
    }
    // Waiting requests hold their peers' links, which must end before the traffic thread's state
    // does.
    m_state->relay.stop();
}

} // namespace gentianplank
