#include "gentianplank/bench/control_simulation.h"

#include "gentianplank/configuration/change_log.h"
#include "gentianplank/standin/fake_table_store.h"
#include "gentianplank/vm/failure_detector.h"
#include "gentianplank/vm/member_log.h"
#include "gentianplank/vm/membership_lease.h"

#include <functional>
#include <map>
#include <random>

namespace gentianplank {

namespace {

constexpr Duration Tick = std::chrono::milliseconds(10);
constexpr Duration NaivePollInterval = std::chrono::milliseconds(500);
constexpr Duration StoreTimeout = std::chrono::seconds(1);
constexpr Duration ProcessingTime = std::chrono::microseconds(200);
constexpr uint64_t SlowMessagePercent = 2;
constexpr uint64_t MaxExtraDelayUs = 900000;
// A change makes five reads of the store (ten one-way delays) before its transaction arrives there.
constexpr int OneWayDelaysUntilStored = 11;
const Instant Epoch{std::chrono::seconds(1000)};

struct ModelVm
{
    MembershipLease lease;
    FailureDetector detector;
    // When the VM last sent heartbeats and last polled the store.
    Duration heartbeatAt{0};
    Duration polledAt{0};
    bool isCutFromStore = false;
    bool isCutFromPeers = false;
};

struct SubmittedChange
{
    size_t vm = 0;
    StoredChange stored;
    // Zero until the VM learns that the change is accepted.
    Duration acceptedAt{0};
};

} // namespace

struct ControlSimulation::State
{
    State(const FleetShape &fleet, ControlPolicy controlPolicy, uint64_t seed)
        : shape(fleet)
        , policy(controlPolicy)
        , random(seed)
        , vms(fleet.vms.size())
    {}

    Instant clock() const { return Epoch + now; }
    bool isLost() { return random() % 100 < lossPercent; }
    void schedule(Duration time, std::function<void()> event)
    {
        events.emplace(time, std::move(event));
    }

    Duration storeLatency(const ModelVm &vm) const
    {
        const VmInfo *info = findVm(vm.lease.members, vm.lease.vm);
        return latencyBetween(shape, info->place, storePlace()) + shape.interZoneLatency +
               ProcessingTime;
    }

    Place storePlace() const
    {
        for (const Place &it : shape.vms) {
            if (it.region == shape.storeRegion) {
                return it;
            }
        }
        return {};
    }

    // Delays a few messages so much that later ones overtake them.
    Duration jitter()
    {
        const bool slow = random() % 100 < SlowMessagePercent;
        return slow ? Duration(static_cast<Duration::rep>(random() % MaxExtraDelayUs))
                    : Duration{0};
    }

    bool connected(size_t a, size_t b) const
    {
        return !vms[a].isCutFromPeers && !vms[b].isCutFromPeers;
    }

    void send(size_t from, size_t to, std::function<void()> event)
    {
        if (connected(from, to) && !isLost()) {
            schedule(now + latencyBetween(shape, shape.vms[from], shape.vms[to]) + ProcessingTime +
                         jitter(),
                     std::move(event));
        }
    }

    void initialiseMembers();
    void step(size_t i);
    void heartbeat(size_t i, size_t peer);
    void poll(size_t i);
    void apply(size_t i, uint64_t revision);
    void push(size_t i, uint64_t revision);
    void recordAcceptance(size_t i);

    FleetShape shape;
    ControlPolicy policy;
    std::mt19937_64 random;
    std::vector<ModelVm> vms;
    FakeTableStore store;
    MemberLog members{store, 0};
    ChangeLog changes{store, membersKey(0)};
    std::multimap<Duration, std::function<void()>> events;
    std::vector<SubmittedChange> submitted;
    Duration now{0};
    bool storeDown = false;
    uint64_t lossPercent = 0;
    uint64_t reverted = 0;
};

// Stores a member list of all VMs and applies it at each of them.
void ControlSimulation::State::initialiseMembers()
{
    VmDirectory list;
    for (size_t i = 0; i < vms.size(); ++i) {
        VmInfo info;
        info.name = "vm-" + std::to_string(i);
        info.incarnation = 1;
        info.place = shape.vms[i];
        list.vms.push_back(info);
    }
    members.write(*members.read(StoreTimeout), list, "first", StoreTimeout);
    const StoredMembers stored = *members.read(StoreTimeout);
    for (size_t i = 0; i < vms.size(); ++i) {
        vms[i].lease = makeMembershipLease(list.vms[i].name, 1);
        applyMembers(vms[i].lease, stored.list);
        recordStoreProof(vms[i].lease, clock(), {0, stored.list.revision});
        trackListedVms(vms[i].detector, stored.list, clock());
        vms[i].heartbeatAt = Duration(static_cast<Duration::rep>(random() % 500000));
        vms[i].polledAt = vms[i].heartbeatAt;
    }
}

void ControlSimulation::State::step(size_t i)
{
    ModelVm &vm = vms[i];
    const bool full = policy == ControlPolicy::Full;
    if (full && now - vm.heartbeatAt >= HeartbeatInterval) {
        vm.heartbeatAt = now;
        for (size_t peer = 0; peer < vms.size(); ++peer) {
            if (peer != i) {
                heartbeat(i, peer);
            }
        }
    }
    const bool poller = isStorePoller(vm.detector, vm.lease.members, vm.lease.vm, clock());
    const Duration interval =
        full ? storePollInterval(vm.lease, poller, clock()) : NaivePollInterval;
    if (now - vm.polledAt >= interval) {
        vm.polledAt = now;
        poll(i);
    }
}

void ControlSimulation::State::heartbeat(size_t i, size_t peer)
{
    const Instant requestSentAt = clock();
    send(i, peer, [this, i, peer, requestSentAt] {
        const MembershipLease &other = vms[peer].lease;
        const Attestation attestation{other.incarnation, requestSentAt, appliedRevisions(other),
                                      attestsMembership(other, vms[i].lease.vm, 1)};
        send(peer, i, [this, i, peer, attestation] {
            ModelVm &vm = vms[i];
            recordAttestation(vm.lease, vms[peer].lease.vm, attestation);
            recordHeartbeatReply(vm.detector, vms[peer].lease.vm, clock(), {});
            if (attestation.reported.configuration > vm.lease.configuration) {
                // Fetch the changes from the peer.
                send(i, peer, [this, i, peer] {
                    send(peer, i, [this, i, revision = vms[peer].lease.configuration] {
                        apply(i, revision);
                    });
                });
            }
            recordAcceptance(i);
        });
    });
}

void ControlSimulation::State::poll(size_t i)
{
    if (storeDown || vms[i].isCutFromStore || isLost()) {
        return;
    }
    const Instant requestSentAt = clock();
    const Duration latency = storeLatency(vms[i]);
    schedule(now + latency, [this, i, requestSentAt, latency] {
        const StoredMembers stored = *members.read(StoreTimeout);
        schedule(now + latency + jitter(), [this, i, requestSentAt, stored] {
            recordStoreProof(vms[i].lease, requestSentAt,
                             {stored.configurationHead, stored.list.revision});
            apply(i, stored.configurationHead);
        });
    });
}

void ControlSimulation::State::apply(size_t i, uint64_t revision)
{
    const uint64_t before = vms[i].lease.configuration;
    if (policy == ControlPolicy::Full) {
        applyConfiguration(vms[i].lease, revision);
    } else {
        // The naive policies apply whatever was read last, also if it is older.
        vms[i].lease.configuration = revision;
    }
    reverted += vms[i].lease.configuration < before ? 1U : 0U;
}

void ControlSimulation::State::push(size_t i, uint64_t revision)
{
    apply(i, revision);
    for (size_t peer = 0; peer < vms.size(); ++peer) {
        if (peer == i || policy != ControlPolicy::Full) {
            continue;
        }
        send(i, peer, [this, i, peer, revision] {
            apply(peer, revision);
            send(peer, i, [this, i, peer] { heartbeat(i, peer); });
        });
    }
}

void ControlSimulation::State::recordAcceptance(size_t i)
{
    for (SubmittedChange &it : submitted) {
        if (it.vm == i && it.acceptedAt == Duration{0} &&
            isConfigurationAccepted(vms[i].lease, it.stored.revision, it.stored.membersRevision)) {
            it.acceptedAt = now;
        }
    }
}

ControlSimulation::ControlSimulation(const FleetShape &shape, ControlPolicy policy, uint64_t seed)
    : m_state(std::make_unique<State>(shape, policy, seed))
{
    m_state->initialiseMembers();
}

ControlSimulation::~ControlSimulation() = default;

size_t ControlSimulation::vmCount() const
{
    return m_state->vms.size();
}

void ControlSimulation::run(Duration span)
{
    State &state = *m_state;
    const Duration until = state.now + span;
    while (state.now < until) {
        const Duration next = std::min(until, state.now + Tick);
        while (!state.events.empty() && state.events.begin()->first <= next) {
            auto node = state.events.extract(state.events.begin());
            state.now = std::max(state.now, node.key());
            node.mapped()();
        }
        state.now = next;
        for (size_t i = 0; i < state.vms.size(); ++i) {
            state.step(i);
        }
    }
}

Duration ControlSimulation::now() const
{
    return m_state->now;
}

void ControlSimulation::setStoreDown(bool down)
{
    m_state->storeDown = down;
}

void ControlSimulation::setCutFromStore(size_t vm, bool cut)
{
    m_state->vms[vm].isCutFromStore = cut;
}

void ControlSimulation::setCutFromPeers(size_t vm, bool cut)
{
    m_state->vms[vm].isCutFromPeers = cut;
}

void ControlSimulation::setLossPercent(uint64_t percent)
{
    m_state->lossPercent = percent;
}

uint64_t ControlSimulation::change(size_t vm)
{
    State &state = *m_state;
    if (state.storeDown || state.vms[vm].isCutFromStore) {
        return 0;
    }
    ConfigurationChange change;
    change.set_revision(state.changes.head(StoreTimeout).value() + 1);
    change.set_write_id("write-" + std::to_string(change.revision()));
    const auto stored = state.changes.append(change, StoreTimeout);
    if (!stored) {
        return 0;
    }
    state.submitted.push_back({vm, *stored, Duration{0}});
    const Duration replyDelay = state.storeLatency(state.vms[vm]);
    state.schedule(state.now + replyDelay, [&state, vm, revision = stored->revision] {
        state.push(vm, revision);
        state.recordAcceptance(vm);
    });
    return stored->revision;
}

Duration ControlSimulation::storeDelay(size_t vm) const
{
    return m_state->storeLatency(m_state->vms[vm]) * OneWayDelaysUntilStored;
}

Duration ControlSimulation::acceptedAt(uint64_t revision) const
{
    for (const SubmittedChange &it : m_state->submitted) {
        if (it.stored.revision == revision) {
            return it.acceptedAt;
        }
    }
    return Duration{0};
}

bool ControlSimulation::serves(size_t vm) const
{
    return m_state->policy == ControlPolicy::PollingOnly ||
           isLeaseValid(m_state->vms[vm].lease, m_state->clock());
}

uint64_t ControlSimulation::revisionOf(size_t vm) const
{
    return m_state->vms[vm].lease.configuration;
}

uint64_t ControlSimulation::reverted() const
{
    return m_state->reverted;
}

uint64_t ControlSimulation::storeReads() const
{
    return m_state->store.reads();
}

uint64_t ControlSimulation::storeWrites() const
{
    return m_state->store.transactions();
}

} // namespace gentianplank
