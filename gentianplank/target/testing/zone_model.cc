#include "gentianplank/target/testing/zone_model.h"

#include <algorithm>
#include <queue>
#include <random>

namespace gentianplank {

namespace {

using std::chrono::milliseconds;

constexpr size_t Zones = 6;
constexpr size_t ZonesPerRegion = 3;
constexpr Duration ServiceTime = milliseconds(12);
constexpr std::array<Duration, DistanceCount> RoundTrips = {Duration(400), milliseconds(2),
                                                            milliseconds(40)};
constexpr Duration SpillThreshold = milliseconds(20);
constexpr std::array<double, DistanceCount> ConstantWeights = {8, 2, 0.25};
constexpr double CentralTargetLoad = 0.8;
constexpr Duration ReadTimeout = std::chrono::seconds(2);
constexpr double MicrosecondsPerSecond = 1e6;

struct Observed
{
    Duration wait{0};
    Instant at{};
    uint32_t inFlight = 0;
};

struct ModelVm
{
    size_t zone = 0;
    std::vector<Observed> observed;
    ZoneBalance balance;
    PathTimes paths;
};

enum class EventKind { Read, Write, AtMember, Executed, Answered };

struct Event
{
    Instant at{};
    uint64_t number = 0;
    EventKind kind = EventKind::Read;
    size_t vm = 0;
    size_t member = 0;
    Instant startedAt{};
    Duration wait{0};
    Instant reportedAt{};
    bool isWrite = false;

    bool operator>(const Event &other) const
    {
        return at != other.at ? at > other.at : number > other.number;
    }
};

class Model
{
public:
    Model(const ZoneModelOptions &options, ModelPolicy policy);
    ZoneModelResult run();

private:
    Distance distance(size_t zone, size_t member) const
    {
        return distanceBetween(modelPlace(zone), m_options.members[member].place);
    }
    Duration roundTrip(size_t zone, size_t member) const
    {
        return RoundTrips[static_cast<size_t>(distance(zone, member))] +
               m_options.members[member].slowness;
    }
    void push(Event event);
    void scheduleArrival(EventKind kind, size_t zone, Instant now);
    void handle(const Event &event);
    void startRead(const Event &event);
    void queueAtMember(const Event &event);
    void answer(const Event &event);
    void finishRead(const Event &event);
    size_t choose(ModelVm &vm);
    size_t chooseByCost(const ModelVm &vm) const;
    size_t chooseAdaptively(ModelVm &vm);
    size_t chooseByThreshold(const ModelVm &vm) const;
    size_t chooseByWeights(const std::vector<double> &weights);
    void updateCentralShares();

    const ZoneModelOptions &m_options;
    ModelPolicy m_policy;
    std::mt19937_64 m_random;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    uint64_t m_nextNumber = 0;
    std::vector<ModelVm> m_vms;
    std::vector<std::vector<size_t>> m_vmsOfZone{Zones};
    std::vector<std::vector<Instant>> m_slots;
    std::vector<Duration> m_times;
    ZoneModelResult m_result;
    std::vector<std::array<std::array<double, 2>, Zones>> m_windows;
    // Reads by zone of the last second, and the shares computed from them, by zone and member.
    std::array<double, Zones> m_zoneReads{};
    std::vector<std::vector<double>> m_centralShares;
    std::vector<std::vector<double>> m_nextCentralShares;
    Instant m_centralAt{};
    Instant m_now{};
};

Instant at(double seconds)
{
    return Instant(Duration(static_cast<Duration::rep>(seconds * MicrosecondsPerSecond)));
}

double secondsOf(Instant instant)
{
    return static_cast<double>(instant.time_since_epoch().count()) / MicrosecondsPerSecond;
}

Model::Model(const ZoneModelOptions &options, ModelPolicy policy)
    : m_options(options)
    , m_policy(policy)
    , m_random(options.seed)
{
    m_vms.resize(options.vms);
    for (size_t i = 0; i < options.vms; ++i) {
        m_vms[i].zone = i % Zones;
        m_vms[i].observed.resize(options.members.size());
        m_vmsOfZone[i % Zones].push_back(i);
    }
    for (const ModelMember &it : options.members) {
        m_slots.emplace_back(it.slots);
    }
    m_windows.resize(static_cast<size_t>(at(options.seconds).time_since_epoch() / ShareInterval) +
                     1);
    m_centralShares.assign(Zones, std::vector<double>(options.members.size()));
    for (size_t zone = 0; zone < Zones; ++zone) {
        for (size_t i = 0; i < options.members.size(); ++i) {
            m_centralShares[zone][i] = ConstantWeights[static_cast<size_t>(distance(zone, i))];
        }
    }
    m_nextCentralShares = m_centralShares;
}

void Model::push(Event event)
{
    event.number = m_nextNumber++;
    m_events.push(event);
}

void Model::scheduleArrival(EventKind kind, size_t zone, Instant now)
{
    const double rate = kind == EventKind::Write ? m_options.writesPerSecond
                                                 : m_options.readsPerSecond(zone, secondsOf(now));
    if (rate <= 0) {
        return;
    }
    Event event;
    event.at = now + Duration(static_cast<Duration::rep>(
                         std::exponential_distribution<>(rate)(m_random) * MicrosecondsPerSecond));
    event.kind = kind;
    const auto &vms = m_vmsOfZone[kind == EventKind::Write ? m_random() % Zones : zone];
    event.vm = vms[m_random() % vms.size()];
    event.startedAt = event.at;
    event.isWrite = kind == EventKind::Write;
    push(event);
}

ZoneModelResult Model::run()
{
    for (size_t zone = 0; zone < Zones; ++zone) {
        scheduleArrival(EventKind::Read, zone, at(0));
    }
    scheduleArrival(EventKind::Write, 0, at(0));
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        if (m_now - m_centralAt >= std::chrono::seconds(1)) {
            updateCentralShares();
        }
        handle(event);
    }
    for (const auto &window : m_windows) {
        std::array<double, Zones> left{};
        for (size_t zone = 0; zone < Zones; ++zone) {
            left[zone] = window[zone][0] > 0 ? window[zone][1] / window[zone][0] : 0;
        }
        m_result.leftZone.push_back(left);
    }
    std::sort(m_times.begin(), m_times.end());
    const size_t n = m_times.size();
    m_result.reads = n;
    for (double &it : m_result.parts) {
        it /= static_cast<double>(std::max<size_t>(1, n));
    }
    if (n > 0) {
        m_result.median = m_times[n / 2];
        m_result.p99 = m_times[n * 99 / 100];
        const auto late = std::upper_bound(m_times.begin(), m_times.end(), m_options.objective);
        m_result.insideObjective =
            static_cast<double>(late - m_times.begin()) / static_cast<double>(n);
    }
    return m_result;
}

void Model::handle(const Event &event)
{
    switch (event.kind) {
    case EventKind::Read:
    case EventKind::Write:
        if (event.at < at(m_options.seconds)) {
            startRead(event);
        }
        return;
    case EventKind::AtMember:
        queueAtMember(event);
        return;
    case EventKind::Executed:
        answer(event);
        return;
    case EventKind::Answered:
        finishRead(event);
        return;
    }
}

void Model::startRead(const Event &event)
{
    ModelVm &vm = m_vms[event.vm];
    scheduleArrival(event.kind, vm.zone, m_now);
    Event next = event;
    next.kind = EventKind::AtMember;
    if (event.isWrite) {
        const auto &members = m_options.members;
        const auto primary = std::find_if(members.begin(), members.end(),
                                          [](const ModelMember &it) { return it.isPrimary; });
        next.member = static_cast<size_t>(primary - members.begin());
    } else {
        next.member = choose(vm);
        ++m_zoneReads[vm.zone];
        const Distance to = distance(vm.zone, next.member);
        auto &window = m_windows[static_cast<size_t>(m_now.time_since_epoch() / ShareInterval)];
        window[vm.zone][0] += 1;
        window[vm.zone][1] += to == Distance::SameZone ? 0 : 1;
        if (secondsOf(m_now) > m_options.seconds / 2) {
            m_result.parts[static_cast<size_t>(to)] += 1;
            ++m_result.readsOfMember[next.member];
        }
    }
    ++vm.observed[next.member].inFlight;
    next.at = m_now + roundTrip(vm.zone, next.member) / 2;
    push(next);
}

// Runs the statement at the first free slot, in the order of arrival.
void Model::queueAtMember(const Event &event)
{
    auto &slots = m_slots[event.member];
    const auto slot = std::min_element(slots.begin(), slots.end());
    const Instant start = std::max(m_now, *slot);
    Event next = event;
    next.kind = EventKind::Executed;
    if (start - m_now > ReadTimeout) {
        // The queue refuses what it can't run in time.
        next.at = m_now + ReadTimeout;
    } else {
        *slot = start + ServiceTime;
        next.at = *slot;
    }
    push(next);
}

// Sends the answer with the wait that a new statement would have now.
void Model::answer(const Event &event)
{
    const auto &slots = m_slots[event.member];
    const Duration wait = *std::min_element(slots.begin(), slots.end()) - m_now;
    Event next = event;
    next.kind = EventKind::Answered;
    next.at = m_now + roundTrip(m_vms[event.vm].zone, event.member) / 2;
    const bool isHidden = m_options.members[event.member].reportsNoWait;
    next.wait = isHidden ? Duration::zero() : std::max(Duration::zero(), wait);
    next.reportedAt = m_now;
    push(next);
}

void Model::finishRead(const Event &event)
{
    ModelVm &vm = m_vms[event.vm];
    Observed &observed = vm.observed[event.member];
    --observed.inFlight;
    observed.wait = event.wait;
    observed.at = event.reportedAt - m_options.reportDelay;
    const Duration total = m_now - event.startedAt;
    const Duration path = total - ServiceTime - event.wait;
    recordPathTime(vm.paths, distance(vm.zone, event.member), std::max(Duration(100), path));
    if (!event.isWrite && secondsOf(event.startedAt) > m_options.seconds / 2) {
        m_times.push_back(total);
    }
}

size_t Model::choose(ModelVm &vm)
{
    switch (m_policy) {
    case ModelPolicy::LeastCost:
        return chooseByCost(vm);
    case ModelPolicy::Adaptive:
        return chooseAdaptively(vm);
    case ModelPolicy::FixedWeights: {
        std::vector<double> weights;
        for (size_t i = 0; i < m_options.members.size(); ++i) {
            weights.push_back(ConstantWeights[static_cast<size_t>(distance(vm.zone, i))]);
        }
        return chooseByWeights(weights);
    }
    case ModelPolicy::Threshold:
        return chooseByThreshold(vm);
    case ModelPolicy::CentralShare:
        break;
    }
    return chooseByWeights(m_centralShares[vm.zone]);
}

size_t Model::chooseByCost(const ModelVm &vm) const
{
    std::vector<ReadCandidate> candidates;
    for (size_t i = 0; i < m_options.members.size(); ++i) {
        const Observed &observed = vm.observed[i];
        ReadCandidate candidate;
        candidate.id = std::to_string(i);
        candidate.distance = distance(vm.zone, i);
        candidate.isPrimary = m_options.members[i].isPrimary;
        candidate.expectedWait =
            m_now - observed.at < MaxReportAge ? observed.wait : Duration::zero();
        candidate.inFlight = observed.inFlight;
        candidate.slots = m_options.members[i].slots;
        candidates.push_back(std::move(candidate));
    }
    return std::stoul(rankReaders(candidates).front()->id);
}

size_t Model::chooseAdaptively(ModelVm &vm)
{
    std::vector<ZoneMember> members;
    for (size_t i = 0; i < m_options.members.size(); ++i) {
        const Observed &observed = vm.observed[i];
        const Distance far = distance(vm.zone, i);
        members.push_back({far, m_options.members[i].isPrimary, pathTime(vm.paths, far),
                           observed.wait,
                           observed.at == Instant{} ? Duration::max() : m_now - observed.at,
                           observed.inFlight, m_options.members[i].slots});
    }
    const ZoneChoice choice =
        chooseMember(vm.balance, members, {m_random(), m_options.objective, ReadTimeout, false});
    if (choice.isUrgent) {
        vm.balance.urgentAt = m_now;
    }
    adjustShares(vm.balance, members, false, m_now);
    return choice.member ? *choice.member : chooseByCost(vm);
}

size_t Model::chooseByThreshold(const ModelVm &vm) const
{
    std::vector<size_t> order(m_options.members.size());
    for (size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
    }
    std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
        return memberClassOf(distance(vm.zone, a), m_options.members[a].isPrimary) <
               memberClassOf(distance(vm.zone, b), m_options.members[b].isPrimary);
    });
    const auto it = std::find_if(order.begin(), order.end(), [&](size_t member) {
        const Observed &observed = vm.observed[member];
        return observed.wait < SpillThreshold || m_now - observed.at >= MaxReportAge;
    });
    return it == order.end() ? order.front() : *it;
}

size_t Model::chooseByWeights(const std::vector<double> &weights)
{
    return std::discrete_distribution<size_t>(weights.begin(), weights.end())(m_random);
}

// Gives each zone's reads to its own members, then to those of its region, then to others, each up
// to a part of its capacity. The shares are applied a second after the reads that they are from.
void Model::updateCentralShares()
{
    m_centralShares = m_nextCentralShares;
    m_centralAt = m_now;
    std::vector<double> room;
    for (const ModelMember &it : m_options.members) {
        const double writes = it.isPrimary ? m_options.writesPerSecond : 0;
        const double capacity =
            it.slots * MicrosecondsPerSecond / static_cast<double>(ServiceTime.count());
        room.push_back(std::max(0.0, capacity * CentralTargetLoad - writes));
    }
    std::array<double, Zones> rest = m_zoneReads;
    for (auto &it : m_nextCentralShares) {
        std::fill(it.begin(), it.end(), 0);
    }
    for (const Distance step : {Distance::SameZone, Distance::SameRegion, Distance::OtherRegion}) {
        for (size_t zone = 0; zone < Zones; ++zone) {
            for (size_t i = 0; i < room.size(); ++i) {
                const double n = distance(zone, i) == step ? std::min(rest[zone], room[i]) : 0;
                m_nextCentralShares[zone][i] += n;
                room[i] -= n;
                rest[zone] -= n;
            }
        }
    }
    for (size_t zone = 0; zone < Zones; ++zone) {
        for (double &it : m_nextCentralShares[zone]) {
            // Excess demand goes everywhere alike.
            it += std::max(rest[zone], 1e-3) / static_cast<double>(room.size());
        }
    }
    m_zoneReads = {};
}

} // namespace

std::string_view toString(ModelPolicy policy)
{
    constexpr std::array<std::string_view, 5> names = {"least cost", "adaptive", "fixed weights",
                                                       "threshold", "central share"};
    return names[static_cast<size_t>(policy)];
}

Place modelPlace(size_t zone)
{
    return {"zone-" + std::to_string(zone), zone < ZonesPerRegion ? "r" : "t"};
}

std::vector<ModelMember> modelGroup()
{
    return {{modelPlace(0), true, 4, false, Duration::zero()},
            {modelPlace(1), false, 4, false, Duration::zero()},
            {modelPlace(3), false, 4, false, Duration::zero()}};
}

ZoneModelResult runZoneModel(const ZoneModelOptions &options, ModelPolicy policy)
{
    return Model(options, policy).run();
}

} // namespace gentianplank
