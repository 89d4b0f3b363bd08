#include "gentianplank/bench/control_fleet.h"

#include "gentianplank/configuration/change_log.h"
#include "gentianplank/standin/table_store_fake.h"
#include "gentianplank/vm/failure_detector.h"
#include "gentianplank/vm/member_log.h"
#include "gentianplank/vm/membership_lease.h"

#include <functional>
#include <map>
#include <random>

namespace gentianplank {

namespace {

constexpr Duration Tick = std::chrono::milliseconds(10);
constexpr Duration NaivePoll = std::chrono::milliseconds(500);
constexpr Duration StoreTimeout = std::chrono::seconds(1);
constexpr Duration Processing = std::chrono::microseconds(200);
constexpr uint64_t SlowPercent = 2;
constexpr uint64_t SlowestUs = 900000;
// A change reads the store five times before its transaction reaches it.
constexpr int OneWaysUntilStored = 11;
const Instant Epoch{std::chrono::seconds(1000)};

struct ModelVm
{
    MembershipLease standing;
    FailureDetector detector;
    Duration beatAt{0};
    Duration polledAt{0};
    bool storeCut = false;
    bool peersCut = false;
};

struct SubmittedChange
{
    size_t vm = 0;
    StoredChange stored;
    Duration acceptedAt{0};
};

} // namespace

struct ControlFleet::State
{
    State(const FleetShape &fleet, ControlPolicy with, uint64_t seed)
        : shape(fleet)
        , policy(with)
        , random(seed)
        , vms(fleet.vms.size())
    {}

    Instant clock() const { return Epoch + now; }
    bool isLost() { return random() % 100 < lossPercent; }
    void at(Duration time, std::function<void()> event) { events.emplace(time, std::move(event)); }

    Duration storeLatency(const ModelVm &vm) const
    {
        const VmInfo *info = findVm(vm.standing.members, vm.standing.vm);
        return latencyBetween(shape, info->place, storePlace()) + shape.zoneLatency + Processing;
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

    // Some messages take far longer than usual, so that later ones overtake them.
    Duration jitter()
    {
        const bool slow = random() % 100 < SlowPercent;
        return slow ? Duration(static_cast<Duration::rep>(random() % SlowestUs)) : Duration{0};
    }

    bool connected(size_t a, size_t b) const { return !vms[a].peersCut && !vms[b].peersCut; }

    void send(size_t from, size_t to, std::function<void()> event)
    {
        if (connected(from, to) && !isLost()) {
            at(now + latencyBetween(shape, shape.vms[from], shape.vms[to]) + Processing + jitter(),
               std::move(event));
        }
    }

    void join();
    void step(size_t i);
    void heartbeat(size_t i, size_t peer);
    void poll(size_t i);
    void apply(size_t i, uint64_t revision);
    void push(size_t i, uint64_t revision);
    void noteAccepted(size_t i);

    FleetShape shape;
    ControlPolicy policy;
    std::mt19937_64 random;
    std::vector<ModelVm> vms;
    TableStoreFake store;
    MemberLog members{store, 0};
    ChangeLog changes{store, membersKey(0)};
    std::multimap<Duration, std::function<void()>> events;
    std::vector<SubmittedChange> submitted;
    Duration now{0};
    bool storeDown = false;
    uint64_t lossPercent = 0;
    uint64_t reverted = 0;
};

// Starts with a list that every VM has applied.
void ControlFleet::State::join()
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
        vms[i].standing = makeMembershipLease(list.vms[i].name, 1);
        applyMembers(vms[i].standing, stored.list);
        recordStoreProof(vms[i].standing, clock(), {0, stored.list.revision});
        trackListedVms(vms[i].detector, stored.list, clock());
        vms[i].beatAt = Duration(static_cast<Duration::rep>(random() % 500000));
        vms[i].polledAt = vms[i].beatAt;
    }
}

void ControlFleet::State::step(size_t i)
{
    ModelVm &vm = vms[i];
    const bool full = policy == ControlPolicy::Full;
    if (full && now - vm.beatAt >= HeartbeatInterval) {
        vm.beatAt = now;
        for (size_t peer = 0; peer < vms.size(); ++peer) {
            if (peer != i) {
                heartbeat(i, peer);
            }
        }
    }
    const bool poller = isStorePoller(vm.detector, vm.standing.members, vm.standing.vm, clock());
    const Duration interval = full ? storePollInterval(vm.standing, poller, clock()) : NaivePoll;
    if (now - vm.polledAt >= interval) {
        vm.polledAt = now;
        poll(i);
    }
}

void ControlFleet::State::heartbeat(size_t i, size_t peer)
{
    const Instant askedAt = clock();
    send(i, peer, [this, i, peer, askedAt] {
        const MembershipLease &other = vms[peer].standing;
        const Attestation attestation{other.incarnation, askedAt, appliedRevisions(other),
                                      attestsMembership(other, vms[i].standing.vm, 1)};
        send(peer, i, [this, i, peer, attestation] {
            ModelVm &vm = vms[i];
            recordAttestation(vm.standing, vms[peer].standing.vm, attestation);
            recordHeartbeatReply(vm.detector, vms[peer].standing.vm, clock(), {});
            if (attestation.reported.configuration > vm.standing.configuration) {
                // Fetches the changes from the peer.
                send(i, peer, [this, i, peer] {
                    send(peer, i, [this, i, revision = vms[peer].standing.configuration] {
                        apply(i, revision);
                    });
                });
            }
            noteAccepted(i);
        });
    });
}

void ControlFleet::State::poll(size_t i)
{
    if (storeDown || vms[i].storeCut || isLost()) {
        return;
    }
    const Instant askedAt = clock();
    const Duration latency = storeLatency(vms[i]);
    at(now + latency, [this, i, askedAt, latency] {
        const StoredMembers stored = *members.read(StoreTimeout);
        at(now + latency + jitter(), [this, i, askedAt, stored] {
            recordStoreProof(vms[i].standing, askedAt,
                             {stored.configurationHead, stored.list.revision});
            apply(i, stored.configurationHead);
        });
    });
}

void ControlFleet::State::apply(size_t i, uint64_t revision)
{
    const uint64_t before = vms[i].standing.configuration;
    if (policy == ControlPolicy::Full) {
        applyConfiguration(vms[i].standing, revision);
    } else {
        // Takes what it read last.
        vms[i].standing.configuration = revision;
    }
    reverted += vms[i].standing.configuration < before ? 1U : 0U;
}

void ControlFleet::State::push(size_t i, uint64_t revision)
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

void ControlFleet::State::noteAccepted(size_t i)
{
    for (SubmittedChange &it : submitted) {
        if (it.vm == i && it.acceptedAt == Duration{0} &&
            isConfigurationAccepted(vms[i].standing, it.stored.revision,
                                    it.stored.membersRevision)) {
            it.acceptedAt = now;
        }
    }
}

ControlFleet::ControlFleet(const FleetShape &shape, ControlPolicy policy, uint64_t seed)
    : m_state(std::make_unique<State>(shape, policy, seed))
{
    m_state->join();
}

ControlFleet::~ControlFleet() = default;

size_t ControlFleet::vmCount() const
{
    return m_state->vms.size();
}

void ControlFleet::run(Duration span)
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

Duration ControlFleet::now() const
{
    return m_state->now;
}

void ControlFleet::setStoreDown(bool down)
{
    m_state->storeDown = down;
}

void ControlFleet::cutStore(size_t vm, bool cut)
{
    m_state->vms[vm].storeCut = cut;
}

void ControlFleet::cutPeers(size_t vm, bool cut)
{
    m_state->vms[vm].peersCut = cut;
}

void ControlFleet::setLossPercent(uint64_t percent)
{
    m_state->lossPercent = percent;
}

uint64_t ControlFleet::change(size_t vm)
{
    State &state = *m_state;
    if (state.storeDown || state.vms[vm].storeCut) {
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
    const Duration answer = state.storeLatency(state.vms[vm]);
    state.at(state.now + answer, [&state, vm, revision = stored->revision] {
        state.push(vm, revision);
        state.noteAccepted(vm);
    });
    return stored->revision;
}

Duration ControlFleet::storingTime(size_t vm) const
{
    return m_state->storeLatency(m_state->vms[vm]) * OneWaysUntilStored;
}

Duration ControlFleet::acceptedAt(uint64_t revision) const
{
    for (const SubmittedChange &it : m_state->submitted) {
        if (it.stored.revision == revision) {
            return it.acceptedAt;
        }
    }
    return Duration{0};
}

bool ControlFleet::serves(size_t vm) const
{
    return m_state->policy == ControlPolicy::PollingOnly ||
           isLeaseValid(m_state->vms[vm].standing, m_state->clock());
}

uint64_t ControlFleet::revisionOf(size_t vm) const
{
    return m_state->vms[vm].standing.configuration;
}

uint64_t ControlFleet::reverted() const
{
    return m_state->reverted;
}

uint64_t ControlFleet::storeReads() const
{
    return m_state->store.reads();
}

uint64_t ControlFleet::storeWrites() const
{
    return m_state->store.transactions();
}

} // namespace gentianplank
