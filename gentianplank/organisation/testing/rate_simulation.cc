#include "gentianplank/organisation/testing/rate_simulation.h"

#include <algorithm>
#include <map>
#include <memory>

namespace gentianplank {

namespace {

constexpr Duration ListInterval = std::chrono::milliseconds(500);
constexpr Duration MessageTimeout = std::chrono::milliseconds(300);
constexpr Duration LeaseDuration = std::chrono::milliseconds(2500);

struct Vm
{
    size_t index = 0;
    bool up = false;
    uint64_t incarnation = 0;
    double drift = 0;
    Instant pausedUntil{};
    Instant listReadAt{};
    Instant leaseUntil{};
    RateOwner owner;
    QuotaClient client;
    bool lookingUp = false;
    // Arrival of each waiting statement, in simulated time and by the VM's clock.
    std::deque<std::pair<Instant, Instant>> waiting;
};

std::string nameOf(size_t vm)
{
    return "vm-" + std::to_string(vm);
}

} // namespace

struct RateSimulation::State
{
    RateLimit limit;
    RateSimulationOptions options;
    std::mt19937_64 random;
    Instant now{std::chrono::seconds(100000)};
    std::vector<Vm> vms;
    std::vector<size_t> list;
    uint64_t revision = 0;
    bool storeDown = false;
    std::map<size_t, Instant> expelAt;
    std::multimap<Instant, std::function<void()>> events;
    uint64_t messages = 0;
    RateSimulation *fleet = nullptr;

    bool chance(int perMille) { return static_cast<int>(random() % 1000) < perMille; }

    Instant clockOf(const Vm &vm) const
    {
        const double gained = static_cast<double>(now.time_since_epoch().count()) * vm.drift;
        return now + Duration(static_cast<Duration::rep>(gained)) +
               std::chrono::seconds(static_cast<int>(vm.index));
    }

    bool runs(const Vm &vm, uint64_t incarnation) const
    {
        return vm.up && vm.incarnation == incarnation;
    }

    bool holdsLease(const Vm &vm) const { return clockOf(vm) < vm.leaseUntil; }

    Duration delay()
    {
        if (chance(options.latePerMille)) {
            return Duration(static_cast<Duration::rep>(
                random() % static_cast<uint64_t>(options.longestLateness.count())));
        }
        return options.latency + Duration(static_cast<Duration::rep>(
                                     random() % static_cast<uint64_t>(options.jitter.count())));
    }

    // Delivers `task` at a VM zero, one or two times. A paused VM receives it when the pause ends.
    void send(size_t from, size_t to, const std::function<void(Vm &)> &task)
    {
        ++messages;
        const uint64_t incarnation = vms[to].incarnation;
        const int copies = chance(options.duplicatePerMille) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            const bool isDropped = fleet->isPartitioned && fleet->isPartitioned(from, to);
            if (!isDropped && !chance(options.lossPerMille)) {
                const Duration far =
                    options.distance ? options.distance(from, to) : Duration::zero();
                deliver(now + far + delay(), to, incarnation, task);
            }
        }
    }

    void deliver(Instant at, size_t to, uint64_t incarnation, const std::function<void(Vm &)> &task)
    {
        events.emplace(at, [this, to, incarnation, task] {
            Vm &vm = vms[to];
            if (!runs(vm, incarnation)) {
                return;
            }
            if (now < vm.pausedUntil) {
                deliver(vm.pausedUntil, to, incarnation, task);
                return;
            }
            task(vm);
        });
    }

    void after(Duration wait, size_t vm, const std::function<void(Vm &)> &task)
    {
        deliver(now + wait, vm, vms[vm].incarnation, task);
    }

    size_t indexOf(const std::string &name) const
    {
        return static_cast<size_t>(std::stoul(name.substr(3)));
    }

    void readList(Vm &vm);
    void tick(Vm &vm);
    void sendRequest(Vm &vm, const SliceRequest &request);
    void lookUp(Vm &vm);
    void sendHandovers(Vm &vm);
    void admitWaiting(Vm &vm);
    void changeList();
};

// Reads the member list. The result arrives after a delay; the lease counts from before the read.
void RateSimulation::State::readList(Vm &vm)
{
    const Instant requestedAt = clockOf(vm);
    vm.listReadAt = requestedAt;
    if (storeDown) {
        // The other VMs attest the membership. No list can change while the store is down.
        if (vm.owner.members.revision == revision) {
            vm.leaseUntil = std::max(vm.leaseUntil, requestedAt + LeaseDuration);
        }
        return;
    }
    RateMembers members;
    members.revision = revision;
    for (const size_t it : list) {
        members.vms.push_back(nameOf(it));
    }
    if (revision == 1) {
        members.foundedAt = requestedAt;
    }
    const bool listed = std::find(list.begin(), list.end(), vm.index) != list.end();
    after(delay(), vm.index, [this, requestedAt, members, listed](Vm &self) {
        if (!listed || self.owner.members.revision > members.revision) {
            return;
        }
        setMembers(self.owner, members, clockOf(self));
        recordListAccepted(self.owner, members.revision, clockOf(self));
        self.leaseUntil = std::max(self.leaseUntil, requestedAt + LeaseDuration);
    });
}

void RateSimulation::State::sendRequest(Vm &vm, const SliceRequest &request)
{
    const RateOwnerNames owners = rateOwnersOf(vm.owner.members, options.organisation);
    const bool useBackup = shouldRequestFromBackup(vm.client) && !owners.backup.empty();
    const std::string &name = useBackup ? owners.backup : owners.primary;
    if (name.empty()) {
        onRequestFailed(vm.client);
        return;
    }
    const size_t from = vm.index;
    const size_t to = indexOf(name);
    const auto serve = [this, from, to, request](Vm &owner) {
        if (!holdsLease(owner)) {
            return;
        }
        const SliceReply reply =
            onRequest(owner.owner, options.organisation, request, clockOf(owner));
        const auto receive = [this, reply](Vm &self) {
            onReply(self.client, reply, clockOf(self));
        };
        if (from == to) {
            receive(owner);
        } else {
            send(to, from, receive);
        }
    };
    if (from == to) {
        serve(vm);
    } else {
        send(from, to, serve);
    }
}

void RateSimulation::State::lookUp(Vm &vm)
{
    const std::string backup = rateOwnersOf(vm.owner.members, options.organisation).backup;
    if (vm.lookingUp || backup.empty() || dueLookups(vm.owner, clockOf(vm)).empty()) {
        return;
    }
    vm.lookingUp = true;
    const Instant requestedAt = clockOf(vm);
    const size_t from = vm.index;
    const size_t to = indexOf(backup);
    after(MessageTimeout, from, [](Vm &self) { self.lookingUp = false; });
    send(from, to, [this, from, to, requestedAt](Vm &other) {
        const auto records = liveSlices(other.owner, options.organisation, clockOf(other));
        send(to, from, [this, records, requestedAt](Vm &self) {
            if (holdsLease(self)) {
                onLookup(self.owner, options.organisation, records, requestedAt, clockOf(self));
            }
        });
    });
}

void RateSimulation::State::sendHandovers(Vm &vm)
{
    for (const PendingHandover &it : dueHandovers(vm.owner)) {
        const size_t from = vm.index;
        const size_t to = indexOf(it.to);
        auto answered = std::make_shared<bool>(false);
        const auto finish =
            [answered, organisation = options.organisation](Vm &self, HandoverOutcome outcome) {
                if (!*answered) {
                    *answered = true;
                    onHandoverAnswer(self.owner, organisation, outcome);
                }
            };
        after(MessageTimeout, from,
              [finish](Vm &self) { finish(self, HandoverOutcome::Unanswered); });
        send(from, to, [this, from, to, finish, handover = it.handover](Vm &other) {
            const bool accepted =
                holdsLease(other) && onHandover(other.owner, handover, clockOf(other));
            send(to, from, [finish, accepted](Vm &self) {
                finish(self, accepted ? HandoverOutcome::Accepted : HandoverOutcome::Refused);
            });
        });
    }
}

void RateSimulation::State::admitWaiting(Vm &vm)
{
    while (!vm.waiting.empty()) {
        const auto [arrived, clock] = vm.waiting.front();
        if (holdsLease(vm) && tryTakeToken(vm.client, clockOf(vm))) {
            fleet->onAdmitted(arrived, now);
        } else if (shouldReject(vm.client, clock, clockOf(vm))) {
            fleet->onRefused(arrived);
        } else {
            return;
        }
        vm.waiting.pop_front();
    }
}

void RateSimulation::State::tick(Vm &vm)
{
    if (!vm.up || now < vm.pausedUntil) {
        return;
    }
    const Instant clock = clockOf(vm);
    if (holdsLease(vm)) {
        recordLease(vm.owner, clock);
    }
    if (clock - vm.listReadAt >= ListInterval) {
        readList(vm);
    }
    vm.client.waiting = static_cast<double>(vm.waiting.size());
    if (const auto request = nextRequest(vm.client, clock)) {
        sendRequest(vm, *request);
    }
    if (holdsLease(vm)) {
        lookUp(vm);
        sendHandovers(vm);
    }
    admitWaiting(vm);
}

void RateSimulation::State::changeList()
{
    if (storeDown) {
        return;
    }
    for (auto it = expelAt.begin(); it != expelAt.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        std::erase(list, it->first);
        ++revision;
        it = expelAt.erase(it);
    }
}

RateSimulation::RateSimulation(RateLimit limit, size_t vms, RateSimulationOptions options,
                               uint64_t seed)
    : m_state(std::make_unique<State>())
{
    m_state->limit = limit;
    m_state->options = std::move(options);
    m_state->random.seed(seed);
    m_state->fleet = this;
    m_state->vms.resize(vms);
    for (size_t i = 0; i < vms; ++i) {
        m_state->vms[i].index = i;
        m_state->vms[i].drift = m_state->options.drift[i % m_state->options.drift.size()];
        join(i);
    }
}

RateSimulation::~RateSimulation() = default;

void RateSimulation::join(size_t vm)
{
    State &state = *m_state;
    Vm &it = state.vms[vm];
    if (it.up || state.storeDown) {
        return;
    }
    state.expelAt.erase(vm);
    std::erase(state.list, vm);
    state.list.push_back(vm);
    ++state.revision;
    ++it.incarnation;
    it.up = true;
    it.pausedUntil = {};
    it.listReadAt = {};
    it.leaseUntil = {};
    it.lookingUp = false;
    it.waiting.clear();
    const VmIncarnation self{nameOf(vm), it.incarnation};
    it.owner = makeRateOwner(self);
    setLimits(it.owner, {{state.options.organisation, state.limit}}, state.clockOf(it));
    it.client = makeQuotaClient(self, state.clockOf(it));
    state.readList(it);
}

void RateSimulation::kill(size_t vm)
{
    Vm &it = m_state->vms[vm];
    if (!it.up) {
        return;
    }
    it.up = false;
    it.waiting.clear();
    m_state->expelAt[vm] = m_state->now + m_state->options.expulsion;
}

void RateSimulation::pause(size_t vm, Duration duration)
{
    m_state->vms[vm].pausedUntil = m_state->now + duration;
}

void RateSimulation::setStoreDown(bool down)
{
    m_state->storeDown = down;
}

bool RateSimulation::isUp(size_t vm) const
{
    return m_state->vms[vm].up && m_state->now >= m_state->vms[vm].pausedUntil;
}

const QuotaClient &RateSimulation::client(size_t vm) const
{
    return m_state->vms[vm].client;
}

const RateOwner &RateSimulation::owner(size_t vm) const
{
    return m_state->vms[vm].owner;
}

Instant RateSimulation::now() const
{
    return m_state->now;
}

uint64_t RateSimulation::messages() const
{
    return m_state->messages;
}

void RateSimulation::arrive(size_t vm)
{
    State &state = *m_state;
    Vm &it = state.vms[vm];
    if (!isUp(vm)) {
        return;
    }
    const Instant clock = state.clockOf(it);
    recordArrival(it.client, clock);
    if (it.waiting.empty() && state.holdsLease(it) && tryTakeToken(it.client, clock)) {
        onAdmitted(state.now, state.now);
        return;
    }
    if (it.waiting.size() >= MaxWaitingStatements ||
        maxWaitTime(it.client, clock) == Duration::zero()) {
        onRefused(state.now);
        return;
    }
    it.waiting.emplace_back(state.now, clock);
    state.tick(it);
}

void RateSimulation::advance(Duration step)
{
    State &state = *m_state;
    const Instant until = state.now + step;
    while (!state.events.empty() && state.events.begin()->first <= until) {
        const auto it = state.events.begin();
        const auto task = it->second;
        state.now = std::max(state.now, it->first);
        state.events.erase(it);
        task();
    }
    state.now = until;
    state.changeList();
    for (Vm &it : state.vms) {
        state.tick(it);
    }
}

} // namespace gentianplank
