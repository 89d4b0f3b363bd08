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

constexpr uint32_t CellIndex = 0;
constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration HeartbeatTimeout = std::chrono::milliseconds(700);
constexpr Duration StoreTimeout = std::chrono::milliseconds(1000);
constexpr Duration ControlTimeout = std::chrono::milliseconds(500);
constexpr int LeaveAttempts = 20;
// A VM that stays listed after its shutdown counts as dead, so removal is retried longer.
constexpr int RemoveAttempts = 80;
constexpr std::chrono::milliseconds ListWritePause{100};

std::string newWriteId()
{
    return std::to_string(randombytes_random()) + "-" + std::to_string(randombytes_random());
}

// Returns the list that replaces the stored one; nothing when it can't be replaced yet.
using ListUpdate = std::function<std::optional<VmDirectory>(const StoredMembers &stored,
                                                            const PeerAttestations &attestations)>;

} // namespace

struct MembershipController::State : std::enable_shared_from_this<MembershipController::State>
{
    State(MembershipDependencies controllerDependencies, VmInfo info)
        : dependencies(std::move(controllerDependencies))
        , self(std::move(info))
        , members(dependencies.store, CellIndex)
        , lease(makeMembershipLease(self.name, 0))
    {}

    void tick();
    void rejoin();
    Duration pollInterval(Instant now) const;
    void pollStore();
    void onStored(const StoredMembers &stored, Instant requestSentAt);
    void join(const StoredMembers &stored);
    void sendHeartbeats();
    void sendHeartbeat(const VmInfo &peer);
    void onReply(const VmInfo &peer, Instant requestSentAt, const vm::v1::HeartbeatReply &reply);
    void apply(const VmDirectory &list);
    void recordRemovals(const VmDirectory &before);
    void expelDead();
    void publish();
    vm::v1::HeartbeatReply handleHeartbeat(const vm::v1::HeartbeatRequest &request);
    // Reads the stored list and writes its successor, up to `attempts` times until a write
    // succeeds. Gives up at once when the store can't be read. Blocks.
    bool updateMemberList(const ListUpdate &makeNextList, int attempts);

    MembershipDependencies dependencies;
    VmInfo self;
    MemberLog members;
    MembershipLease lease;
    FailureDetector detector;
    Instant polledAt{};
    Instant heartbeatsSentAt{};
    bool polling = false;
    bool writing = false;
    // A VM was removed without having left, and the list without it isn't accepted yet.
    bool removalPending = false;
    // When the lease of such a VM has expired; until then it may act on older revisions.
    Instant removedLeaseExpiry{};
};

void MembershipController::State::tick()
{
    const Instant now = steadyNow();
    if (lease.expelled && !dependencies.fleetState.leaving) {
        rejoin();
    }
    if (!polling && now - polledAt >= pollInterval(now)) {
        pollStore();
    }
    if (now - heartbeatsSentAt >= HeartbeatInterval) {
        sendHeartbeats();
    }
    if (removalPending && isAppliedListAccepted(lease)) {
        removalPending = false;
        removedLeaseExpiry = now + EnforcedAfterAcceptance;
    }
    expelDead();
    publish();
}

void MembershipController::State::rejoin()
{
    logWarning("membership", "VM ", self.name,
               " was expelled; joining again with a new incarnation.");
    dependencies.fleetState.membershipLease.end();
    const MembershipLease before = lease;
    lease = makeMembershipLease(self.name, 0);
    lease.configuration = before.configuration;
    lease.members = before.members;
}

Duration MembershipController::State::pollInterval(Instant now) const
{
    if (!lease.joined && dependencies.fleetState.leaving) {
        return HeartbeatInterval;
    }
    return storePollInterval(lease, isStorePoller(detector, lease.members, self.name, now), now);
}

void MembershipController::State::pollStore()
{
    polling = true;
    const Instant requestSentAt = steadyNow();
    polledAt = requestSentAt;
    dependencies.loop.callBlocking([this] { return members.read(StoreTimeout); },
                                   [state = shared_from_this(), requestSentAt](auto stored) {
                                       state->polling = false;
                                       if (stored) {
                                           state->onStored(*stored, requestSentAt);
                                       }
                                   });
}

void MembershipController::State::onStored(const StoredMembers &stored, Instant requestSentAt)
{
    recordStoreProof(lease, requestSentAt, {stored.configurationHead, stored.list.revision});
    apply(stored.list);
    if (stored.configurationHead > lease.configuration) {
        dependencies.catchUp({});
    }
    if (lease.incarnation == 0 && !dependencies.fleetState.leaving) {
        join(stored);
    }
    publish();
}

void MembershipController::State::join(const StoredMembers &stored)
{
    const auto next = listWithJoined(stored, self, attestationsWithOwn(lease, steadyNow()),
                                     steadyNow() - UnreachableAfter);
    if (!next || writing) {
        return;
    }
    writing = true;
    const bool isFirst = stored.list.revision == 0;
    const Instant before = steadyNow();
    const VmInfo *listed = findVm(*next, self.name);
    const uint64_t incarnation = listed == nullptr ? 0 : listed->incarnation;
    dependencies.loop.callBlocking(
        [this, stored, next = *next] {
            return members.write(stored, next, newWriteId(), StoreTimeout);
        },
        [state = shared_from_this(), incarnation, isFirst, before](MemberWriteOutcome outcome) {
            state->writing = false;
            if (outcome == MemberWriteOutcome::Written) {
                startIncarnation(state->lease, incarnation);
                if (isFirst) {
                    state->dependencies.fleetState.foundedAt = before.time_since_epoch().count();
                }
            }
            if (!state->polling) {
                state->pollStore();
            }
        });
}

void MembershipController::State::sendHeartbeats()
{
    heartbeatsSentAt = steadyNow();
    for (const VmInfo &it : lease.members.vms) {
        if (it.name != self.name) {
            sendHeartbeat(it);
        }
    }
}

void MembershipController::State::sendHeartbeat(const VmInfo &peer)
{
    vm::v1::HeartbeatRequest request;
    request.mutable_sender()->set_vm(self.name);
    request.mutable_sender()->set_number(lease.incarnation);
    request.set_configuration_revision(lease.configuration);
    request.set_members_revision(lease.members.revision);
    request.set_leaving(dependencies.fleetState.leaving);
    const Instant requestSentAt = steadyNow();
    dependencies.peers.heartbeat(
        peer.address, request, HeartbeatTimeout,
        [state = shared_from_this(), peer, requestSentAt](const auto *reply) {
            if (reply != nullptr) {
                state->onReply(peer, requestSentAt, *reply);
            }
        });
}

void MembershipController::State::onReply(const VmInfo &peer, Instant requestSentAt,
                                          const vm::v1::HeartbeatReply &reply)
{
    const Revisions reported{reply.configuration_revision(), reply.members_revision()};
    recordAttestation(lease, peer.name,
                      {reply.receiver().number(), requestSentAt, reported, reply.vouches()});
    if (reply.receiver().number() == peer.incarnation) {
        const std::vector<std::string> misses(reply.silent().begin(), reply.silent().end());
        recordHeartbeatReply(detector, peer.name, steadyNow(), misses);
    }
    if (!covers(appliedRevisions(lease), reported)) {
        dependencies.catchUp(peer.address);
    }
    publish();
}

void MembershipController::State::apply(const VmDirectory &list)
{
    const VmDirectory before = lease.members;
    applyMembers(lease, list);
    recordRemovals(before);
}

void MembershipController::State::recordRemovals(const VmDirectory &before)
{
    if (before.revision == lease.members.revision) {
        return;
    }
    for (const VmInfo &it : before.vms) {
        removalPending =
            removalPending || (!it.leaving && !isListed(lease.members, it.name, it.incarnation));
    }
    trackListedVms(detector, lease.members, steadyNow());
    logInfo("membership", "The member list has ", lease.members.vms.size(), " VMs at revision ",
            lease.members.revision, ".");
    // Reports the new revision to the other VMs, and learns whether they have applied it.
    sendHeartbeats();
}

void MembershipController::State::expelDead()
{
    const Instant now = steadyNow();
    const auto deadVm = vmToExpel(detector, lease.members, self.name, now);
    if (!deadVm || writing || !isLeaseValid(lease, now)) {
        return;
    }
    writing = true;
    const uint64_t incarnation = findVm(lease.members, *deadVm)->incarnation;
    const PeerAttestations attestations = attestationsWithOwn(lease, steadyNow());
    dependencies.loop.callBlocking(
        [this, deadVm = *deadVm, incarnation, attestations] {
            const auto stored = members.read(StoreTimeout);
            if (!stored) {
                return false;
            }
            const auto next = listWithRemoved(*stored, deadVm, incarnation, attestations,
                                              steadyNow() - UnreachableAfter);
            return next && members.write(*stored, *next, newWriteId(), StoreTimeout) ==
                               MemberWriteOutcome::Written;
        },
        [state = shared_from_this(), deadVm = *deadVm](bool written) {
            state->writing = false;
            if (written) {
                logWarning("membership", "VM ", deadVm, " answered no heartbeat and was expelled.");
                state->polledAt = Instant{};
            }
        });
}

void MembershipController::State::publish()
{
    const Instant now = steadyNow();
    if (lease.expelled) {
        dependencies.fleetState.membershipLease.end();
    } else {
        dependencies.fleetState.membershipLease.extendTo(leaseExpiry(lease));
    }
    if (isAppliedListAccepted(lease)) {
        dependencies.fleetState.acceptedMembers = lease.members.revision;
    }
    dependencies.fleetState.state = vmState(lease, dependencies.fleetState.leaving, now);
    VmDirectory directory = lease.members;
    for (VmInfo &it : directory.vms) {
        it.reachable = it.name == self.name || isReachable(detector, it.name, now);
    }
    const auto published = dependencies.fleetState.vms.get();
    const auto hasSameReachability = [](const VmInfo &a, const VmInfo &b) {
        return a.reachable == b.reachable;
    };
    if (published->revision == directory.revision &&
        std::equal(published->vms.begin(), published->vms.end(), directory.vms.begin(),
                   directory.vms.end(), hasSameReachability)) {
        return;
    }
    dependencies.fleetState.vms.set(std::make_shared<const VmDirectory>(std::move(directory)));
    dependencies.onChange();
}

vm::v1::HeartbeatReply
MembershipController::State::handleHeartbeat(const vm::v1::HeartbeatRequest &request)
{
    vm::v1::HeartbeatReply reply;
    reply.mutable_receiver()->set_vm(self.name);
    reply.mutable_receiver()->set_number(lease.incarnation);
    const bool mayAttest =
        permissionsOf(vmState(lease, dependencies.fleetState.leaving, steadyNow())).attest;
    reply.set_vouches(mayAttest &&
                      attestsMembership(lease, request.sender().vm(), request.sender().number()));
    reply.set_configuration_revision(lease.configuration);
    reply.set_members_revision(lease.members.revision);
    reply.set_leaving(dependencies.fleetState.leaving);
    for (const std::string &it : silentVms(detector, steadyNow())) {
        if (it != self.name) {
            reply.add_silent(it);
        }
    }
    const Revisions reported{request.configuration_revision(), request.members_revision()};
    if (!covers(appliedRevisions(lease), reported)) {
        const VmInfo *sender = findVm(lease.members, request.sender().vm());
        dependencies.catchUp(sender == nullptr ? std::string() : sender->address);
        if (sender == nullptr) {
            polledAt = Instant{};
        }
    }
    return reply;
}

bool MembershipController::State::updateMemberList(const ListUpdate &makeNextList, int attempts)
{
    for (int i = 0; i < attempts; ++i) {
        const auto attestations = callOnControlThread(
            dependencies.loop,
            [state = shared_from_this()] {
                state->polledAt = Instant{};
                state->sendHeartbeats();
                return attestationsWithOwn(state->lease, steadyNow());
            },
            ControlTimeout);
        const auto stored = members.read(StoreTimeout);
        if (!attestations || !stored) {
            // An unreachable store isn't waited for.
            return false;
        }
        const auto next = makeNextList(*stored, *attestations);
        if (next && members.write(*stored, *next, newWriteId(), StoreTimeout) ==
                        MemberWriteOutcome::Written) {
            return true;
        }
        std::this_thread::sleep_for(ListWritePause);
    }
    return false;
}

MembershipController::MembershipController(MembershipDependencies dependencies, VmInfo self)
    : m_state(std::make_shared<State>(std::move(dependencies), std::move(self)))
{}

MembershipController::~MembershipController() = default;

void MembershipController::start()
{
    m_state->dependencies.loop.every(TickInterval, [state = m_state] { state->tick(); });
}

void MembershipController::leave()
{
    const auto incarnation = callOnControlThread(
        m_state->dependencies.loop, [state = m_state] { return state->lease.incarnation; },
        ControlTimeout);
    if (!incarnation || *incarnation == 0) {
        return;
    }
    const bool left = m_state->updateMemberList(
        [&](const auto &stored, const auto &attestations) {
            return listWithLeaving(stored, m_state->self.name, *incarnation, attestations,
                                   steadyNow() - UnreachableAfter);
        },
        LeaveAttempts);
    if (!left) {
        logWarning("membership", "Marking this VM as leaving in the stored member list failed.");
    }
}

void MembershipController::removeSelf()
{
    const auto incarnation = callOnControlThread(
        m_state->dependencies.loop,
        [state = m_state] {
            const uint64_t number = state->lease.incarnation;
            state->lease.expelled = true;
            state->dependencies.fleetState.membershipLease.end();
            return number;
        },
        ControlTimeout);
    if (!incarnation || *incarnation == 0) {
        return;
    }
    const bool removed = m_state->updateMemberList(
        [&](const auto &stored, const auto &attestations) {
            return listWithRemoved(stored, m_state->self.name, *incarnation, attestations,
                                   steadyNow() - UnreachableAfter);
        },
        RemoveAttempts);
    if (!removed) {
        logWarning("membership",
                   "Removing this VM from the member list failed; the other VMs will expel it.");
    }
}

vm::v1::HeartbeatReply MembershipController::onHeartbeat(const vm::v1::HeartbeatRequest &request)
{
    const auto reply = callOnControlThread(
        m_state->dependencies.loop,
        [state = m_state, request] { return state->handleHeartbeat(request); }, ControlTimeout);
    return reply.value_or(vm::v1::HeartbeatReply());
}

void MembershipController::onConfigurationApplied(uint64_t revision)
{
    const VmDirectory before = m_state->lease.members;
    applyConfiguration(m_state->lease, revision);
    m_state->recordRemovals(before);
    m_state->publish();
}

void MembershipController::applyMemberList(const VmDirectory &list)
{
    m_state->apply(list);
    m_state->publish();
}

void MembershipController::sendHeartbeat(const VmInfo &peer)
{
    m_state->sendHeartbeat(peer);
}

const MembershipLease &MembershipController::lease() const
{
    return m_state->lease;
}

ChangeProgress MembershipController::progressOf(uint64_t revision,
                                                uint64_t storedMembersRevision) const
{
    const MembershipLease &lease = m_state->lease;
    ChangeProgress progress;
    progress.accepted = isConfigurationAccepted(lease, revision, storedMembersRevision);
    progress.laggingVms = laggingVms(lease, revision);
    progress.confirmed = progress.accepted && progress.laggingVms.empty() &&
                         !m_state->removalPending && steadyNow() >= m_state->removedLeaseExpiry;
    return progress;
}

} // namespace gentianplank
