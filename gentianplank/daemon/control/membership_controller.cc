#include "gentianplank/daemon/control/membership_controller.h"

#include "gentianplank/base/log.h"
#include "gentianplank/daemon/control/control_call.h"
#include "gentianplank/vm/failure_detector.h"
#include "gentianplank/vm/member_change.h"
#include "gentianplank/vm/permissions.h"

#include <sodium.h>

#include <algorithm>
#include <thread>

namespace gentianplank {

namespace {

constexpr uint32_t Cell = 0;
constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration HeartbeatTimeout = std::chrono::milliseconds(700);
constexpr Duration StoreTimeout = std::chrono::milliseconds(1000);
constexpr Duration ControlTimeout = std::chrono::milliseconds(500);
constexpr int LeaveAttempts = 20;
// A VM that stays listed after its end counts as dead, so removal is tried for long.
constexpr int RemoveAttempts = 80;
constexpr std::chrono::milliseconds ListWritePause{100};

std::string uniqueId()
{
    return std::to_string(randombytes_random()) + "-" + std::to_string(randombytes_random());
}

using NextList = std::function<std::optional<VmDirectory>(const StoredMembers &stored,
                                                          const PeerAttestations &answers)>;

} // namespace

struct MembershipController::State : std::enable_shared_from_this<MembershipController::State>
{
    State(MembershipParts with, VmInfo info)
        : parts(std::move(with))
        , self(std::move(info))
        , members(parts.store, Cell)
        , standing(makeMembershipLease(self.name, 0))
    {}

    void tick();
    void rejoin();
    Duration pollInterval(Instant now) const;
    void pollStore();
    void onStored(const StoredMembers &stored, Instant askedAt);
    void join(const StoredMembers &stored);
    void heartbeatAll();
    void heartbeat(const VmInfo &peer);
    void onReply(const VmInfo &peer, Instant askedAt, const vm::v1::HeartbeatReply &reply);
    void apply(const VmDirectory &list);
    void noteRemovals(const VmDirectory &before);
    void expelDead();
    void publish();
    vm::v1::HeartbeatReply answer(const vm::v1::HeartbeatRequest &request);
    // Blocks.
    bool changeList(const NextList &nextList, int attempts);

    MembershipParts parts;
    VmInfo self;
    MemberLog members;
    MembershipLease standing;
    FailureDetector detector;
    Instant polledAt{};
    Instant heartbeatAt{};
    bool polling = false;
    bool writing = false;
    // A VM that was removed without leaving may act until this time.
    bool removalPending = false;
    Instant removedActUntil{};
};

void MembershipController::State::tick()
{
    const Instant now = steadyNow();
    if (standing.expelled && !parts.boards.leaving) {
        rejoin();
    }
    if (!polling && now - polledAt >= pollInterval(now)) {
        pollStore();
    }
    if (now - heartbeatAt >= HeartbeatInterval) {
        heartbeatAll();
    }
    if (removalPending && isAppliedListAccepted(standing)) {
        removalPending = false;
        removedActUntil = now + EnforcedAfterAcceptance;
    }
    expelDead();
    publish();
}

void MembershipController::State::rejoin()
{
    logWarning("membership", "VM ", self.name, " was expelled; it joins again.");
    parts.boards.standing.end();
    const MembershipLease before = standing;
    standing = makeMembershipLease(self.name, 0);
    standing.configuration = before.configuration;
    standing.members = before.members;
}

Duration MembershipController::State::pollInterval(Instant now) const
{
    if (!standing.joined && parts.boards.leaving) {
        return HeartbeatInterval;
    }
    return storePollInterval(standing, isStorePoller(detector, standing.members, self.name, now),
                             now);
}

void MembershipController::State::pollStore()
{
    polling = true;
    const Instant askedAt = steadyNow();
    polledAt = askedAt;
    parts.loop.callBlocking([this] { return members.read(StoreTimeout); },
                            [state = shared_from_this(), askedAt](auto stored) {
                                state->polling = false;
                                if (stored) {
                                    state->onStored(*stored, askedAt);
                                }
                            });
}

void MembershipController::State::onStored(const StoredMembers &stored, Instant askedAt)
{
    recordStoreProof(standing, askedAt, {stored.configurationHead, stored.list.revision});
    apply(stored.list);
    if (stored.configurationHead > standing.configuration) {
        parts.catchUp({});
    }
    if (standing.incarnation == 0 && !parts.boards.leaving) {
        join(stored);
    }
    publish();
}

void MembershipController::State::join(const StoredMembers &stored)
{
    const auto next = listWithJoined(stored, self, attestationsWithOwn(standing, steadyNow()),
                                     steadyNow() - UnreachableAfter);
    if (!next || writing) {
        return;
    }
    writing = true;
    const bool isFirst = stored.list.revision == 0;
    const Instant before = steadyNow();
    const VmInfo *listed = findVm(*next, self.name);
    const uint64_t incarnation = listed == nullptr ? 0 : listed->incarnation;
    parts.loop.callBlocking(
        [this, stored, next = *next] {
            return members.write(stored, next, uniqueId(), StoreTimeout);
        },
        [state = shared_from_this(), incarnation, isFirst, before](MemberWriteOutcome outcome) {
            state->writing = false;
            if (outcome == MemberWriteOutcome::Written) {
                startIncarnation(state->standing, incarnation);
                if (isFirst) {
                    state->parts.boards.foundedAt = before.time_since_epoch().count();
                }
            }
            if (!state->polling) {
                state->pollStore();
            }
        });
}

void MembershipController::State::heartbeatAll()
{
    heartbeatAt = steadyNow();
    for (const VmInfo &it : standing.members.vms) {
        if (it.name != self.name) {
            heartbeat(it);
        }
    }
}

void MembershipController::State::heartbeat(const VmInfo &peer)
{
    vm::v1::HeartbeatRequest request;
    request.mutable_sender()->set_vm(self.name);
    request.mutable_sender()->set_number(standing.incarnation);
    request.set_configuration_revision(standing.configuration);
    request.set_members_revision(standing.members.revision);
    request.set_leaving(parts.boards.leaving);
    const Instant askedAt = steadyNow();
    parts.peers.heartbeat(peer.address, request, HeartbeatTimeout,
                          [state = shared_from_this(), peer, askedAt](const auto *reply) {
                              if (reply != nullptr) {
                                  state->onReply(peer, askedAt, *reply);
                              }
                          });
}

void MembershipController::State::onReply(const VmInfo &peer, Instant askedAt,
                                          const vm::v1::HeartbeatReply &reply)
{
    const Revisions reported{reply.configuration_revision(), reply.members_revision()};
    recordAttestation(standing, peer.name,
                      {reply.receiver().number(), askedAt, reported, reply.vouches()});
    if (reply.receiver().number() == peer.incarnation) {
        const std::vector<std::string> misses(reply.silent().begin(), reply.silent().end());
        recordHeartbeatReply(detector, peer.name, steadyNow(), misses);
    }
    if (!covers(appliedRevisions(standing), reported)) {
        parts.catchUp(peer.address);
    }
    publish();
}

void MembershipController::State::apply(const VmDirectory &list)
{
    const VmDirectory before = standing.members;
    applyMembers(standing, list);
    noteRemovals(before);
}

void MembershipController::State::noteRemovals(const VmDirectory &before)
{
    if (before.revision == standing.members.revision) {
        return;
    }
    for (const VmInfo &it : before.vms) {
        removalPending =
            removalPending || (!it.leaving && !isListed(standing.members, it.name, it.incarnation));
    }
    trackListedVms(detector, standing.members, steadyNow());
    logInfo("membership", "The list has ", standing.members.vms.size(), " VMs at revision ",
            standing.members.revision, ".");
    // Tells the others, and learns whether they have the list.
    heartbeatAll();
}

void MembershipController::State::expelDead()
{
    const Instant now = steadyNow();
    const auto victim = vmToExpel(detector, standing.members, self.name, now);
    if (!victim || writing || !isLeaseValid(standing, now)) {
        return;
    }
    writing = true;
    const uint64_t incarnation = findVm(standing.members, *victim)->incarnation;
    const PeerAttestations answers = attestationsWithOwn(standing, steadyNow());
    parts.loop.callBlocking(
        [this, victim = *victim, incarnation, answers] {
            const auto stored = members.read(StoreTimeout);
            if (!stored) {
                return false;
            }
            const auto next = listWithRemoved(*stored, victim, incarnation, answers,
                                              steadyNow() - UnreachableAfter);
            return next && members.write(*stored, *next, uniqueId(), StoreTimeout) ==
                               MemberWriteOutcome::Written;
        },
        [state = shared_from_this(), victim = *victim](bool written) {
            state->writing = false;
            if (written) {
                logWarning("membership", "VM ", victim, " does not answer and is expelled.");
                state->polledAt = Instant{};
            }
        });
}

void MembershipController::State::publish()
{
    const Instant now = steadyNow();
    if (standing.expelled) {
        parts.boards.standing.end();
    } else {
        parts.boards.standing.extendTo(leaseExpiry(standing));
    }
    if (isAppliedListAccepted(standing)) {
        parts.boards.acceptedMembers = standing.members.revision;
    }
    parts.boards.state = vmState(standing, parts.boards.leaving, now);
    VmDirectory directory = standing.members;
    for (VmInfo &it : directory.vms) {
        it.reachable = it.name == self.name || isReachable(detector, it.name, now);
    }
    const auto published = parts.boards.vms.get();
    const auto sameReach = [](const VmInfo &a, const VmInfo &b) {
        return a.reachable == b.reachable;
    };
    if (published->revision == directory.revision &&
        std::equal(published->vms.begin(), published->vms.end(), directory.vms.begin(),
                   directory.vms.end(), sameReach)) {
        return;
    }
    parts.boards.vms.set(std::make_shared<const VmDirectory>(std::move(directory)));
    parts.onChange();
}

vm::v1::HeartbeatReply MembershipController::State::answer(const vm::v1::HeartbeatRequest &request)
{
    vm::v1::HeartbeatReply reply;
    reply.mutable_receiver()->set_vm(self.name);
    reply.mutable_receiver()->set_number(standing.incarnation);
    const bool mayVouch =
        permissionsOf(vmState(standing, parts.boards.leaving, steadyNow())).attest;
    reply.set_vouches(
        mayVouch && attestsMembership(standing, request.sender().vm(), request.sender().number()));
    reply.set_configuration_revision(standing.configuration);
    reply.set_members_revision(standing.members.revision);
    reply.set_leaving(parts.boards.leaving);
    for (const std::string &it : silentVms(detector, steadyNow())) {
        if (it != self.name) {
            reply.add_silent(it);
        }
    }
    const Revisions reported{request.configuration_revision(), request.members_revision()};
    if (!covers(appliedRevisions(standing), reported)) {
        const VmInfo *sender = findVm(standing.members, request.sender().vm());
        parts.catchUp(sender == nullptr ? std::string() : sender->address);
        if (sender == nullptr) {
            polledAt = Instant{};
        }
    }
    return reply;
}

bool MembershipController::State::changeList(const NextList &nextList, int attempts)
{
    for (int i = 0; i < attempts; ++i) {
        const auto answers = askControl(
            parts.loop,
            [state = shared_from_this()] {
                state->polledAt = Instant{};
                state->heartbeatAll();
                return attestationsWithOwn(state->standing, steadyNow());
            },
            ControlTimeout);
        const auto stored = members.read(StoreTimeout);
        if (!answers || !stored) {
            // Without the store there is nothing to wait for.
            return false;
        }
        const auto next = nextList(*stored, *answers);
        if (next && members.write(*stored, *next, uniqueId(), StoreTimeout) ==
                        MemberWriteOutcome::Written) {
            return true;
        }
        std::this_thread::sleep_for(ListWritePause);
    }
    return false;
}

MembershipController::MembershipController(MembershipParts parts, VmInfo self)
    : m_state(std::make_shared<State>(std::move(parts), std::move(self)))
{}

MembershipController::~MembershipController() = default;

void MembershipController::start()
{
    m_state->parts.loop.every(TickInterval, [state = m_state] { state->tick(); });
}

void MembershipController::leave()
{
    const auto incarnation = askControl(
        m_state->parts.loop, [state = m_state] { return state->standing.incarnation; },
        ControlTimeout);
    if (!incarnation || *incarnation == 0) {
        return;
    }
    const bool left = m_state->changeList(
        [&](const auto &stored, const auto &answers) {
            return listWithLeaving(stored, m_state->self.name, *incarnation, answers,
                                   steadyNow() - UnreachableAfter);
        },
        LeaveAttempts);
    if (!left) {
        logWarning("membership", "The store did not learn that this VM leaves.");
    }
}

void MembershipController::removeSelf()
{
    const auto incarnation = askControl(
        m_state->parts.loop,
        [state = m_state] {
            const uint64_t number = state->standing.incarnation;
            state->standing.expelled = true;
            state->parts.boards.standing.end();
            return number;
        },
        ControlTimeout);
    if (!incarnation || *incarnation == 0) {
        return;
    }
    const bool removed = m_state->changeList(
        [&](const auto &stored, const auto &answers) {
            return listWithRemoved(stored, m_state->self.name, *incarnation, answers,
                                   steadyNow() - UnreachableAfter);
        },
        RemoveAttempts);
    if (!removed) {
        logWarning("membership", "This VM is still listed; the others will expel it.");
    }
}

vm::v1::HeartbeatReply MembershipController::onHeartbeat(const vm::v1::HeartbeatRequest &request)
{
    const auto reply = askControl(
        m_state->parts.loop, [state = m_state, request] { return state->answer(request); },
        ControlTimeout);
    return reply.value_or(vm::v1::HeartbeatReply());
}

void MembershipController::onConfigurationApplied(uint64_t revision)
{
    const VmDirectory before = m_state->standing.members;
    applyConfiguration(m_state->standing, revision);
    m_state->noteRemovals(before);
    m_state->publish();
}

void MembershipController::onMembers(const VmDirectory &list)
{
    m_state->apply(list);
    m_state->publish();
}

void MembershipController::askPeer(const VmInfo &peer)
{
    m_state->heartbeat(peer);
}

const MembershipLease &MembershipController::standing() const
{
    return m_state->standing;
}

ChangeProgress MembershipController::progressOf(uint64_t revision, uint64_t storedWith) const
{
    const MembershipLease &standing = m_state->standing;
    ChangeProgress progress;
    progress.accepted = isConfigurationAccepted(standing, revision, storedWith);
    progress.laggingVms = laggingVms(standing, revision);
    progress.confirmed = progress.accepted && progress.laggingVms.empty() &&
                         !m_state->removalPending && steadyNow() >= m_state->removedActUntil;
    return progress;
}

} // namespace gentianplank
