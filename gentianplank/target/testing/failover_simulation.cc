#include "gentianplank/target/testing/failover_simulation.h"

#include "gentianplank/statement/write_flow.h"
#include "gentianplank/vm/vm_directory.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace gentianplank {

namespace {

constexpr Duration HeartbeatInterval = std::chrono::milliseconds(20);
constexpr size_t MaxWritesPerVm = 64;

struct Node
{
    Place place;
    bool isMember = false;
    bool stopped = false;
    Instant pausedUntil{};
};

struct SimulatedMember
{
    MemberState state;
    Duration lag{};
    Instant primaryHeardAt{};
    Instant reportedAt{};
    Instant heartbeatAt{};
    LogPosition reported;
    uint64_t reportedFence = 0;
    size_t sentLength = 0;
};

struct SimulatedWrite
{
    std::string id;
    WriteFlow flow;
    // Number of the outstanding call, 0 if there is none. Replies to other calls are dropped.
    uint64_t attempt = 0;
    Instant attemptUntil{};
    // The write waits for this time or for a change of the view.
    Instant waitUntil{};
    uint64_t waitVersion = 0;
};

struct SimulatedVm
{
    GroupView view;
    // Incremented with each change of the view.
    uint64_t version = 0;
    GroupFailover failover;
    uint64_t incarnation = 0;
    std::vector<SimulatedWrite> writes;
    Instant nextWriteAt{};
};

struct Message
{
    size_t to = 0;
    std::function<void()> deliver;
};

std::string memberName(size_t member)
{
    return std::string(1, static_cast<char>('a' + member));
}

} // namespace

struct FailoverSimulation::State
{
    explicit State(FailoverSimulationOptions from)
        : options(std::move(from))
        , random(options.seed)
    {}

    uint64_t randomBelow(uint64_t below) { return random() % below; }
    size_t vmNode(size_t vm) const { return members.size() + vm; }
    bool isCut(size_t a, size_t b) const { return cuts.contains(std::minmax(a, b)); }
    bool isRunning(size_t node) const
    {
        return !nodes[node].stopped && nodes[node].pausedUntil <= now;
    }
    size_t memberOf(const std::string &name) const
    {
        return static_cast<size_t>(name.front() - 'a');
    }

    void send(size_t from, size_t to, std::function<void()> deliver, Duration extra = {});
    void call(size_t vm, size_t member, std::function<std::function<void()>()> handle);
    void deliverDue();
    void startVm(size_t vm);
    void report(size_t member);
    void replicateFrom(size_t member);
    void sendEntries(size_t from, size_t to, size_t length, Duration extra);
    void runFailover(size_t vm);
    void apply(size_t vm, const FailoverAction &action);
    void queryWatcher(size_t vm, const std::string &target, uint64_t term);
    void startWrites(size_t vm);
    void runWrite(size_t vm, SimulatedWrite &write);
    void sendWrite(size_t vm, SimulatedWrite &write, const WriteAction &action);
    void onWriteReply(size_t vm, const std::string &id, uint64_t attempt,
                      const tl::expected<target::v1::Done, MemberError> &reply);
    void runWrites(size_t vm);
    void finishWrite(size_t vm, const SimulatedWrite &write);
    void recordPrimaries();
    void step();

    FailoverSimulationOptions options;
    std::mt19937_64 random;
    Instant now{std::chrono::seconds(1000)};
    std::vector<Node> nodes;
    std::vector<SimulatedMember> members;
    std::vector<SimulatedVm> vms;
    std::vector<FailoverWatcher> watchers;
    std::set<std::pair<size_t, size_t>> cuts;
    std::multimap<Instant, Message> messages;
    // The latest delivery by sender and receiver, since connections preserve the order.
    std::map<std::pair<size_t, size_t>, Instant> lastDelivery;
    std::map<uint64_t, std::set<std::string>> primariesByTerm;
    std::vector<AcknowledgedWrite> acknowledged;
    std::set<std::string> notRun;
    std::vector<Promotion> promotions;
    configuration::v1::Target target;
    uint64_t writeCount = 0;
    uint64_t attemptCount = 0;
};

void FailoverSimulation::State::send(size_t from, size_t to, std::function<void()> deliver,
                                     Duration extra)
{
    if (isCut(from, to)) {
        return;
    }
    Duration delay = options.latency(nodes[from].place, nodes[to].place) + extra;
    if (options.jitter > Duration::zero()) {
        delay += Duration(randomBelow(static_cast<uint64_t>(options.jitter.count())));
    }
    Instant at = now + delay;
    if (extra == Duration::zero()) {
        Instant &last = lastDelivery[{from, to}];
        at = std::max(at, last);
        last = at;
    }
    messages.emplace(at, Message{to, [this, from, to, deliver = std::move(deliver)] {
                                     if (!isCut(from, to)) {
                                         deliver();
                                     }
                                 }});
}

void FailoverSimulation::State::call(size_t vm, size_t member,
                                     std::function<std::function<void()>()> handle)
{
    if (randomBelow(1000) < options.lossPerMille) {
        return;
    }
    const uint64_t incarnation = vms[vm].incarnation;
    send(vmNode(vm), member, [this, vm, member, incarnation, handle = std::move(handle)] {
        auto onReply = handle();
        if (randomBelow(1000) < options.lossPerMille) {
            return;
        }
        send(member, vmNode(vm), [this, vm, incarnation, onReply = std::move(onReply)] {
            if (vms[vm].incarnation == incarnation) {
                onReply();
            }
        });
    });
}

void FailoverSimulation::State::deliverDue()
{
    while (!messages.empty() && messages.begin()->first <= now) {
        const Message message = std::move(messages.begin()->second);
        messages.erase(messages.begin());
        const Node &node = nodes[message.to];
        if (node.stopped) {
            continue;
        }
        if (node.pausedUntil > now) {
            messages.emplace(node.pausedUntil, message);
            continue;
        }
        message.deliver();
    }
}

void FailoverSimulation::State::startVm(size_t vm)
{
    SimulatedVm &it = vms[vm];
    const std::string name = "vm-" + std::to_string(vm);
    ++it.incarnation;
    it.view = makeGroupView(target);
    it.failover =
        makeGroupFailover(name, name + "/" + std::to_string(it.incarnation), options.timing);
    it.writes.clear();
    it.nextWriteAt = now;
}

void FailoverSimulation::State::report(size_t member)
{
    SimulatedMember &it = members[member];
    const LogPosition position = positionOf(it.state);
    const bool changed = position != it.reported || it.state.fencedTerm != it.reportedFence;
    if (!changed && now - it.reportedAt < options.reportInterval) {
        return;
    }
    it.reported = position;
    it.reportedFence = it.state.fencedTerm;
    it.reportedAt = now;
    const bool isPrimary = it.state.role == target::v1::ROLE_PRIMARY;
    MemberReport report{it.state.name,
                        isPrimary ? Role::Primary : Role::Replica,
                        position,
                        it.state.fencedTerm,
                        {}};
    report.primarySilence = isPrimary ? Duration::zero() : now - it.primaryHeardAt;
    for (size_t vm = 0; vm < vms.size(); ++vm) {
        send(member, vmNode(vm), [this, vm, report]() mutable {
            report.receivedAt = now;
            applyReport(vms[vm].view, report);
            ++vms[vm].version;
        });
    }
}

void FailoverSimulation::State::sendEntries(size_t from, size_t to, size_t length, Duration extra)
{
    const uint64_t term = members[from].state.term;
    const auto deliver = [this, from, to, term, length] {
        MemberState &source = members[from].state;
        MemberState &replica = members[to].state;
        if (source.term != term) {
            return;
        }
        // The message was sent while the source was primary of its term.
        const target::v1::Role role = source.role;
        source.role = target::v1::ROLE_PRIMARY;
        const bool accepted = replicate(source, replica, length);
        source.role = role;
        if (accepted) {
            members[to].primaryHeardAt = now;
            return;
        }
        const uint64_t later = replica.fencedTerm;
        send(to, from, [this, from, later] { fence(members[from].state, later); });
    };
    send(from, to, deliver, extra);
}

void FailoverSimulation::State::replicateFrom(size_t member)
{
    SimulatedMember &it = members[member];
    if (it.state.role != target::v1::ROLE_PRIMARY) {
        it.sentLength = 0;
        return;
    }
    const bool isHeartbeatDue = now - it.heartbeatAt >= HeartbeatInterval;
    const size_t length = it.state.log.size();
    for (size_t to = 0; to < members.size(); ++to) {
        if (to == member) {
            continue;
        }
        if (isHeartbeatDue) {
            sendEntries(member, to, 0, {});
        }
        if (isHeartbeatDue || length != it.sentLength) {
            sendEntries(member, to, length, members[to].lag);
        }
    }
    it.sentLength = length;
    it.heartbeatAt = isHeartbeatDue ? now : it.heartbeatAt;
}

void FailoverSimulation::State::queryWatcher(size_t vm, const std::string &queriedVm, uint64_t term)
{
    for (size_t other = 0; other < vms.size(); ++other) {
        if (vms[other].failover.vm != queriedVm) {
            continue;
        }
        send(vmNode(vm), vmNode(other), [this, vm, other, term] {
            Observation seen = observe(vms[other].failover, vms[other].view, term, now);
            send(vmNode(other), vmNode(vm), [this, vm, seen]() mutable {
                seen.receivedAt = now;
                onObservation(vms[vm].failover, seen);
            });
        });
    }
}

void FailoverSimulation::State::apply(size_t vm, const FailoverAction &action)
{
    const std::string promoter = vms[vm].failover.promoter;
    const uint64_t term = action.term;
    switch (action.kind) {
    case FailoverActionKind::QueryWatcher:
        queryWatcher(vm, action.target, term);
        break;
    case FailoverActionKind::Fence:
        call(vm, memberOf(action.target), [this, vm, action, term, promoter] {
            MemberState &it = members[memberOf(action.target)].state;
            const bool granted = fence(it, term, promoter);
            const FenceReply reply{it.name, term, granted, positionOf(it), it.fencedTerm};
            return [this, vm, reply] { onFenceReply(vms[vm].failover, reply, now); };
        });
        break;
    case FailoverActionKind::Promote:
        call(vm, memberOf(action.target), [this, vm, action, term, promoter] {
            MemberState &it = members[memberOf(action.target)].state;
            const PromoteReply reply{it.name, term, promote(it, term, promoter)};
            return [this, vm, reply] { onPromoteReply(vms[vm].failover, reply, now); };
        });
        break;
    case FailoverActionKind::Record:
        promotions.push_back({action.target, term, vms[vm].failover.timeline});
        break;
    case FailoverActionKind::Abandon:
        break;
    }
}

void FailoverSimulation::State::runFailover(size_t vm)
{
    SimulatedVm &it = vms[vm];
    const bool isWatcher =
        std::any_of(watchers.begin(), watchers.end(),
                    [&](const FailoverWatcher &watcher) { return watcher.vm == it.failover.vm; });
    if (!isWatcher) {
        return;
    }
    for (const FailoverAction &action : nextActions(it.failover, it.view, watchers, now)) {
        apply(vm, action);
    }
}

void FailoverSimulation::State::startWrites(size_t vm)
{
    SimulatedVm &it = vms[vm];
    if (vm >= options.writers || now < it.nextWriteAt || it.writes.size() >= MaxWritesPerVm) {
        return;
    }
    it.nextWriteAt = now + options.writeInterval;
    SimulatedWrite write;
    write.id = "w" + std::to_string(writeCount++);
    write.flow = makeWriteFlow(now, now + options.writeDeadline);
    it.writes.push_back(std::move(write));
}

void FailoverSimulation::State::sendWrite(size_t vm, SimulatedWrite &write,
                                          const WriteAction &action)
{
    write.attempt = ++attemptCount;
    write.attemptUntil = action.until;
    const bool resolves = action.kind == WriteActionKind::Resolve;
    const size_t member = memberOf(action.member);
    call(vm, member,
         [this, vm, member, resolves, term = action.term, id = write.id, attempt = write.attempt] {
             tl::expected<target::v1::Done, MemberError> reply;
             MemberState &it = members[member].state;
             const target::v1::FailureKind refusal = refusalOf(it, term);
             if (refusal != target::v1::FAILURE_KIND_UNSPECIFIED) {
                 reply = tl::unexpected(MemberError{MemberFault::Refused, refusal, "refused"});
             } else {
                 const CommitResult result =
                     resolves ? resolve(it, id) : commit(it, id, {{id, {}, 1, true}});
                 toWire(result.position, reply->mutable_position());
                 reply->set_aborted(result.aborted);
             }
             return [this, vm, id, attempt, reply] { onWriteReply(vm, id, attempt, reply); };
         });
}

void FailoverSimulation::State::onWriteReply(
    size_t vm, const std::string &id, uint64_t attempt,
    const tl::expected<target::v1::Done, MemberError> &reply)
{
    for (SimulatedWrite &it : vms[vm].writes) {
        if (it.id == id && it.attempt == attempt) {
            it.attempt = 0;
            it.waitUntil = {};
            onReply(it.flow, reply, now);
        }
    }
}

void FailoverSimulation::State::finishWrite(size_t vm, const SimulatedWrite &write)
{
    if (write.flow.refusal.message.empty()) {
        acknowledged.push_back({write.id, now, fromWire(write.flow.done.position())});
        return;
    }
    if (write.flow.refusal.outcome == ExecutionOutcome::NotRun) {
        notRun.insert(write.id);
        return;
    }
    // The caller of a write with an unknown outcome queries the outcome at another VM.
    const size_t other = (vm + 1) % vms.size();
    SimulatedWrite outcomeQuery;
    outcomeQuery.id = write.id;
    outcomeQuery.flow = makeOutcomeFlow(now, now + options.writeDeadline);
    if (!nodes[vmNode(other)].stopped) {
        vms[other].writes.push_back(std::move(outcomeQuery));
    }
}

void FailoverSimulation::State::runWrite(size_t vm, SimulatedWrite &write)
{
    if (write.attempt != 0 && now >= write.attemptUntil) {
        write.attempt = 0;
        write.waitUntil = {};
        const MemberError lost{MemberFault::Lost, target::v1::FAILURE_KIND_UNSPECIFIED, "late"};
        onReply(write.flow, tl::unexpected(lost), now);
    }
    const bool isWaiting = write.waitVersion == vms[vm].version && now < write.waitUntil;
    if (write.attempt != 0 || isWaiting) {
        return;
    }
    const WriteAction action = nextAction(write.flow, vms[vm].view, now);
    write.waitVersion = vms[vm].version;
    write.waitUntil = action.until;
    if (action.kind == WriteActionKind::Send || action.kind == WriteActionKind::Resolve) {
        sendWrite(vm, write, action);
    }
}

void FailoverSimulation::State::runWrites(size_t vm)
{
    std::vector<SimulatedWrite> &writes = vms[vm].writes;
    for (SimulatedWrite &it : writes) {
        runWrite(vm, it);
    }
    const auto isFinished = [](const SimulatedWrite &it) {
        return it.flow.phase == WritePhase::Finished;
    };
    if (std::none_of(writes.begin(), writes.end(), isFinished)) {
        return;
    }
    std::vector<SimulatedWrite> finished;
    std::copy_if(writes.begin(), writes.end(), std::back_inserter(finished), isFinished);
    std::erase_if(writes, isFinished);
    for (const SimulatedWrite &it : finished) {
        finishWrite(vm, it);
    }
}

void FailoverSimulation::State::recordPrimaries()
{
    for (const SimulatedMember &it : members) {
        if (it.state.role == target::v1::ROLE_PRIMARY) {
            primariesByTerm[it.state.term].insert(it.state.name);
        }
    }
}

void FailoverSimulation::State::step()
{
    now += options.step;
    deliverDue();
    for (size_t i = 0; i < members.size(); ++i) {
        if (isRunning(i)) {
            replicateFrom(i);
            report(i);
        }
    }
    for (size_t vm = 0; vm < vms.size(); ++vm) {
        if (!isRunning(vmNode(vm))) {
            continue;
        }
        runFailover(vm);
        startWrites(vm);
        runWrites(vm);
    }
    recordPrimaries();
}

FailoverSimulation::FailoverSimulation(FailoverSimulationOptions options)
    : m_state(std::make_unique<State>(std::move(options)))
{
    State &state = *m_state;
    state.target.set_group("g");
    for (const Place &it : state.options.members) {
        state.nodes.push_back({it, true, false, {}});
        SimulatedMember member;
        member.state.name = memberName(state.members.size());
        fence(member.state, 1, "bootstrap");
        member.primaryHeardAt = state.now;
        configuration::v1::Member *configured = state.target.add_members();
        configured->set_name(member.state.name);
        configured->set_zone(it.zone);
        configured->set_region(it.region);
        state.members.push_back(std::move(member));
    }
    promote(state.members[state.options.initialPrimary].state, 1, "bootstrap");
    VmDirectory directory;
    state.vms.resize(state.options.vms.size());
    for (size_t vm = 0; vm < state.vms.size(); ++vm) {
        const Place &place = state.options.vms[vm];
        state.nodes.push_back({place, false, false, {}});
        state.startVm(vm);
        directory.vms.push_back({state.vms[vm].failover.vm, 1, {}, place, false, true});
    }
    for (const std::string &it : watchersOf(directory, "g", state.options.watcherCount)) {
        state.watchers.push_back({it, findVm(directory, it)->place});
    }
    sortByMajorityProximity(state.watchers, state.vms.front().view);
}

FailoverSimulation::~FailoverSimulation() = default;

size_t FailoverSimulation::memberNode(size_t member) const
{
    return member;
}

size_t FailoverSimulation::vmNode(size_t vm) const
{
    return m_state->vmNode(vm);
}

const Place &FailoverSimulation::placeOf(size_t node) const
{
    return m_state->nodes[node].place;
}

size_t FailoverSimulation::nodeCount() const
{
    return m_state->nodes.size();
}

void FailoverSimulation::advance(Duration time)
{
    const Instant until = m_state->now + time;
    while (m_state->now < until) {
        m_state->step();
    }
}

Instant FailoverSimulation::now() const
{
    return m_state->now;
}

void FailoverSimulation::cut(size_t a, size_t b, bool isCut)
{
    if (isCut) {
        m_state->cuts.insert(std::minmax(a, b));
    } else {
        m_state->cuts.erase(std::minmax(a, b));
    }
}

void FailoverSimulation::isolate(size_t node, bool isCut)
{
    for (size_t other = 0; other < nodeCount(); ++other) {
        if (other != node) {
            cut(node, other, isCut);
        }
    }
}

void FailoverSimulation::healAll()
{
    m_state->cuts.clear();
    for (size_t node = 0; node < nodeCount(); ++node) {
        m_state->nodes[node].pausedUntil = m_state->now;
        restart(node);
    }
}

void FailoverSimulation::pause(size_t node, Duration time)
{
    m_state->nodes[node].pausedUntil = m_state->now + time;
}

void FailoverSimulation::stop(size_t node)
{
    m_state->nodes[node].stopped = true;
    if (!m_state->nodes[node].isMember) {
        return;
    }
    for (size_t vm = 0; vm < m_state->vms.size(); ++vm) {
        const auto onBroken = [this, vm, node] {
            markDisconnected(m_state->vms[vm].view, memberName(node));
        };
        m_state->send(node, vmNode(vm), onBroken);
    }
}

void FailoverSimulation::restart(size_t node)
{
    if (!m_state->nodes[node].stopped) {
        return;
    }
    m_state->nodes[node].stopped = false;
    if (!m_state->nodes[node].isMember) {
        m_state->startVm(node - m_state->members.size());
        return;
    }
    m_state->members[node].state.role = target::v1::ROLE_REPLICA;
    m_state->members[node].primaryHeardAt = m_state->now;
}

void FailoverSimulation::setLag(size_t member, Duration lag)
{
    m_state->members[member].lag = lag;
}

void FailoverSimulation::setLeaving(size_t member, bool leaving)
{
    m_state->target.mutable_members(static_cast<int>(member))->set_leaving(leaving);
    for (SimulatedVm &it : m_state->vms) {
        updateTarget(it.view, m_state->target);
    }
}

std::vector<size_t> FailoverSimulation::watchers() const
{
    std::vector<size_t> found;
    for (const FailoverWatcher &it : m_state->watchers) {
        for (size_t vm = 0; vm < m_state->vms.size(); ++vm) {
            if (m_state->vms[vm].failover.vm == it.vm) {
                found.push_back(vm);
            }
        }
    }
    return found;
}

size_t FailoverSimulation::primary() const
{
    uint64_t highest = 0;
    for (const SimulatedMember &it : m_state->members) {
        highest = std::max(highest, it.state.fencedTerm);
    }
    for (size_t i = 0; i < m_state->members.size(); ++i) {
        const MemberState &it = m_state->members[i].state;
        if (it.role == target::v1::ROLE_PRIMARY && it.term == highest &&
            !m_state->nodes[i].stopped) {
            return i;
        }
    }
    return nodeCount();
}

const MemberState &FailoverSimulation::member(size_t member) const
{
    return m_state->members[member].state;
}

const std::vector<AcknowledgedWrite> &FailoverSimulation::acknowledged() const
{
    return m_state->acknowledged;
}

const std::vector<Promotion> &FailoverSimulation::promotions() const
{
    return m_state->promotions;
}

std::string FailoverSimulation::checkWrites() const
{
    for (const auto &[term, names] : m_state->primariesByTerm) {
        if (names.size() > 1) {
            return "two primaries acted in term " + std::to_string(term);
        }
    }
    const size_t node = primary();
    if (node == nodeCount()) {
        return "the group has no primary";
    }
    std::map<std::string, int> ran;
    for (const LogEntry &it : m_state->members[node].state.log) {
        if (!it.requestId.empty() && !it.aborted && ++ran[it.requestId] > 1) {
            return "write " + it.requestId + " ran twice";
        }
    }
    for (const AcknowledgedWrite &it : m_state->acknowledged) {
        if (!ran.contains(it.id)) {
            return "acknowledged write " + it.id + " was lost";
        }
    }
    for (const std::string &it : m_state->notRun) {
        if (ran.contains(it)) {
            return "write " + it + " ran though it was refused as not run";
        }
    }
    return {};
}

} // namespace gentianplank
