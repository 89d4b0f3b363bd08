// Property test of the write path: the daemon's decisions run against simulated members under
// random faults. The reference is the list of answers that callers received.
#include "gentianplank/session/session_token.h"
#include "gentianplank/standin/member_state.h"
#include "gentianplank/statement/write_flow.h"
#include "gentianplank/target/read_choice.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <set>

namespace gentianplank {

namespace {

constexpr std::string_view Secret = "0123456789abcdef0123456789abcdef";
constexpr size_t Members = 3;
constexpr size_t Vms = 3;
constexpr size_t Sessions = 4;
constexpr size_t StepsPerSeed = 1200;
constexpr int SeedsPerSample = 100;

// The events over all seeds, so that a run without failures can't pass.
struct Coverage
{
    size_t acknowledged = 0;
    size_t replayed = 0;
    size_t aborted = 0;
    size_t unknown = 0;
    size_t promotions = 0;
    size_t reads = 0;
    size_t lateArrivals = 0;
    size_t barriers = 0;
};

Coverage &coverage()
{
    static Coverage all;
    return all;
}

// A logical write of a session, over all its attempts.
struct LogicalWrite
{
    std::string id;
    size_t session = 0;
    // An attempt ended without a final answer.
    bool retried = false;
    bool acknowledged = false;
    // The last answer was "not run", and the write was not sent again since.
    bool reportedNotRun = false;
};

// One attempt through one VM.
struct Attempt
{
    size_t write = 0;
    size_t vm = 0;
    WriteFlow flow;
    // The number of the message whose reply the flow awaits; 0 if none.
    uint64_t awaited = 0;
    // The VM died.
    bool abandoned = false;
    // The caller no longer waits for the answer.
    bool isCallerGone = false;
    // For the barrier of a read without a token: the writes that were acknowledged to any session
    // before it began.
    std::optional<std::vector<std::string>> requiredWrites;
};

// A request in transit to a member. It arrives even after its sender has given up.
struct Message
{
    uint64_t number = 0;
    size_t attempt = 0;
    WriteAction action;
};

struct CallerSession
{
    std::string token;
    std::optional<size_t> pending;
    std::vector<std::string> acknowledged;
};

std::string effectKey(const std::string &id)
{
    return "n/" + id;
}

class WritePathSimulation
{
public:
    explicit WritePathSimulation(uint64_t seed)
        : m_random(seed)
    {
        configuration::v1::Target target;
        target.set_group("g");
        for (size_t i = 0; i < Members; ++i) {
            m_members[i].name = std::string(1, static_cast<char>('a' + i));
            target.add_members()->set_name(m_members[i].name);
        }
        promote(m_members[0], 1);
        for (size_t i = 0; i < Vms; ++i) {
            m_views[i] = makeGroupView(target);
        }
        m_sessions.resize(Sessions);
    }

    void run()
    {
        for (size_t i = 0; i < StepsPerSeed; ++i) {
            step();
        }
        checkFinalState();
    }

private:
    using Step = void (WritePathSimulation::*)();

    size_t pick(size_t n) { return static_cast<size_t>(m_random() % n); }
    bool chance(size_t percent) { return pick(100) < percent; }

    void step()
    {
        static const std::pair<Step, size_t> weights[] = {
            {&WritePathSimulation::advanceTime, 3},
            {&WritePathSimulation::report, 3},
            {&WritePathSimulation::replicateRandomly, 4},
            {&WritePathSimulation::startWrite, 3},
            {&WritePathSimulation::advanceAttempt, 9},
            {&WritePathSimulation::deliverMessage, 5},
            {&WritePathSimulation::timeOutRequest, 1},
            {&WritePathSimulation::isolateOrHeal, 1},
            {&WritePathSimulation::read, 2},
            {&WritePathSimulation::failover, 1},
            {&WritePathSimulation::startBarrier, 1}};
        size_t n = pick(33);
        for (const auto &[step, weight] : weights) {
            if (n < weight) {
                (this->*step)();
                break;
            }
            n -= weight;
        }
        checkSingleEffects();
    }

    void advanceTime() { m_now += std::chrono::milliseconds(pick(12)); }

    // A VM receives the reports of the members, or loses its connections to isolated ones. A VM may
    // receive nothing for a while.
    void report()
    {
        const size_t vm = pick(Vms);
        if (m_silentUntil[vm] > m_now) {
            return;
        }
        if (chance(3)) {
            m_silentUntil[vm] = m_now + std::chrono::milliseconds(pick(400));
        }
        for (size_t i = 0; i < Members; ++i) {
            reportOf(i, vm);
        }
    }

    void reportOf(size_t i, size_t vm)
    {
        const MemberState &member = m_members[i];
        if (m_isolated[i] && m_vmBesideIsolated != vm) {
            markDisconnected(m_views[vm], member.name);
            return;
        }
        if (chance(20)) {
            return;
        }
        const Role role = member.role == target::v1::ROLE_PRIMARY ? Role::Primary : Role::Replica;
        applyReport(m_views[vm], {member.name, role, positionOf(member), member.fencedTerm, m_now});
    }

    void replicateRandomly()
    {
        const size_t from = pick(Members);
        const size_t to = pick(Members);
        if (from == to || m_isolated[from] || m_isolated[to] ||
            m_members[from].role != target::v1::ROLE_PRIMARY) {
            return;
        }
        if (m_members[from].fencedTerm < m_members[to].fencedTerm) {
            fence(m_members[from], m_members[to].fencedTerm);
            return;
        }
        const size_t length = m_members[from].log.size();
        const size_t lag = chance(25) ? pick(length + 1) : pick(4);
        replicate(m_members[from], m_members[to], length - std::min(length, lag));
    }

    // A session begins a write, or repeats its pending one through any VM.
    void startWrite()
    {
        const size_t i = pick(Sessions);
        CallerSession &session = m_sessions[i];
        if (!session.pending) {
            session.pending = m_writes.size();
            m_writes.push_back({"r" + std::to_string(m_writes.size()), i});
        } else if (!mayRepeat(*session.pending)) {
            return;
        }
        LogicalWrite &write = m_writes[*session.pending];
        write.reportedNotRun = false;
        const Instant deadline = m_now + std::chrono::milliseconds(50 + pick(600));
        const size_t vm = pick(Vms);
        m_attempts.push_back({*session.pending, vm, makeWriteFlow(m_now, deadline, write.retried),
                              0, false, false, std::nullopt});
        WriteFlow &flow = m_attempts.back().flow;
        const MemberView *primary = primaryOf(m_views[vm]);
        if (primary != nullptr && chance(25)) {
            // The commit of a transaction that began at this primary.
            flow.pinned = PinnedPrimary{primary->name, primary->position.term};
        }
        flow.isResolveOnly = write.retried && chance(10);
    }

    // A session without its token begins a read: the position of a new marker is the minimum for
    // the read.
    void startBarrier()
    {
        if (!chance(30)) {
            return;
        }
        m_writes.push_back({"r" + std::to_string(m_writes.size()), 0});
        const Instant deadline = m_now + std::chrono::milliseconds(50 + pick(600));
        m_attempts.push_back({m_writes.size() - 1, pick(Vms), makeOutcomeFlow(m_now, deadline), 0,
                              false, false, std::nullopt});
        std::vector<std::string> &requiredWrites = m_attempts.back().requiredWrites.emplace();
        for (const CallerSession &it : m_sessions) {
            requiredWrites.insert(requiredWrites.end(), it.acknowledged.begin(),
                                  it.acknowledged.end());
        }
    }

    // The barrier is confirmed, so a member that covers it must have all writes acknowledged
    // before.
    void readAfterBarrier(const Attempt &barrier)
    {
        const ReadRequirements requirements{
            fromWire(barrier.flow.done.position()), false, std::nullopt, {}};
        const MemberView *reader = chooseReader(m_views[barrier.vm], requirements, {}, m_now);
        if (reader == nullptr) {
            return;
        }
        coverage().barriers += 1;
        const MemberState &member = m_members[static_cast<size_t>(reader->name[0] - 'a')];
        for (const std::string &it : *barrier.requiredWrites) {
            RC_ASSERT(member.ledger.contains(effectKey(it)));
        }
    }

    // Whether the caller may send the write again, because it has an answer or stopped waiting.
    bool mayRepeat(size_t write)
    {
        for (Attempt &it : m_attempts) {
            if (it.write == write && it.flow.phase != WritePhase::Finished && !it.abandoned) {
                if (!chance(10)) {
                    return false;
                }
                m_writes[write].retried = true;
                it.isCallerGone = true;
                it.abandoned = chance(50);
            }
        }
        return true;
    }

    void advanceAttempt()
    {
        if (m_attempts.empty()) {
            return;
        }
        const size_t window = std::min<size_t>(m_attempts.size(), 3 * Sessions);
        const size_t i = m_attempts.size() - 1 - pick(window);
        Attempt &attempt = m_attempts[i];
        if (attempt.abandoned || attempt.awaited != 0 ||
            attempt.flow.phase == WritePhase::Finished) {
            return;
        }
        attempt.flow.mayResend = chance(70);
        const WriteAction action = nextAction(attempt.flow, m_views[attempt.vm], m_now);
        switch (action.kind) {
        case WriteActionKind::Wait:
            break;
        case WriteActionKind::Send:
        case WriteActionKind::Resolve:
            attempt.awaited = ++m_lastMessage;
            m_messages.push_back({attempt.awaited, i, action});
            break;
        case WriteActionKind::Acknowledge:
            onAcknowledged(attempt);
            break;
        case WriteActionKind::Refuse:
            onRefused(attempt);
            break;
        }
    }

    void onAcknowledged(const Attempt &attempt)
    {
        if (attempt.isCallerGone) {
            return;
        }
        LogicalWrite &write = m_writes[attempt.write];
        CallerSession &session = m_sessions[write.session];
        coverage().acknowledged += 1;
        coverage().replayed += attempt.flow.done.replayed() ? 1 : 0;
        RC_ASSERT(latestPrimary().ledger.contains(effectKey(write.id)));
        RC_ASSERT(highestTerm(m_views[attempt.vm]) <= attempt.flow.done.position().term());
        RC_ASSERT(!write.reportedNotRun);
        write.acknowledged = true;
        auto opened = decodeSessionToken(session.token, Secret);
        RC_ASSERT(opened.has_value());
        recordWrite(*opened, "g", fromWire(attempt.flow.done.position()));
        session.token = encodeSessionToken(*opened, Secret);
        session.acknowledged.push_back(write.id);
        closeIfPending(attempt.write);
    }

    void onRefused(const Attempt &attempt)
    {
        if (attempt.isCallerGone) {
            return;
        }
        LogicalWrite &write = m_writes[attempt.write];
        const Refusal &refusal = attempt.flow.refusal;
        if (attempt.requiredWrites) {
            if (refusal.reason == Reason::Aborted) {
                readAfterBarrier(attempt);
            }
            return;
        }
        coverage().aborted += refusal.reason == Reason::Aborted ? 1 : 0;
        if (refusal.outcome == ExecutionOutcome::Unknown) {
            coverage().unknown += 1;
            write.retried = true;
            return;
        }
        RC_ASSERT(!write.acknowledged);
        write.reportedNotRun = true;
        closeIfPending(attempt.write);
    }

    // The caller has a final answer and continues.
    void closeIfPending(size_t write)
    {
        CallerSession &session = m_sessions[m_writes[write].session];
        if (session.pending == write) {
            session.pending.reset();
        }
    }

    // Delivers a message unless its member is isolated; the reply may be lost.
    void deliverMessage()
    {
        if (m_messages.empty()) {
            return;
        }
        const size_t i = pick(m_messages.size());
        const Message message = m_messages[i];
        Attempt &attempt = m_attempts[message.attempt];
        const size_t member = static_cast<size_t>(message.action.member[0] - 'a');
        if (m_isolated[member] && m_vmBesideIsolated != attempt.vm) {
            return;
        }
        m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(i));
        coverage().lateArrivals += attempt.awaited != message.number ? 1 : 0;
        const auto reply = executeAt(m_members[member], message, m_writes[attempt.write].id);
        const bool isAwaited = attempt.awaited == message.number && !attempt.abandoned;
        if (isAwaited && !chance(15)) {
            attempt.awaited = 0;
            onReply(attempt.flow, reply, m_now);
        }
    }

    static tl::expected<target::v1::Done, MemberError>
    executeAt(MemberState &member, const Message &message, const std::string &id)
    {
        const target::v1::FailureKind refusal = refusalOf(member, message.action.term);
        if (refusal != target::v1::FAILURE_KIND_UNSPECIFIED) {
            return tl::unexpected(MemberError{MemberFault::Refused, refusal, "refused"});
        }
        const CommitResult result = message.action.kind == WriteActionKind::Send
                                        ? commit(member, id, {{effectKey(id), {}, 1, true}})
                                        : resolve(member, id);
        target::v1::Done done;
        toWire(result.position, done.mutable_position());
        done.set_replayed(result.replayed);
        done.set_aborted(result.aborted);
        return done;
    }

    // A VM stops waiting for a reply; the request stays in transit.
    void timeOutRequest()
    {
        for (Attempt &it : m_attempts) {
            if (it.awaited != 0 && !it.abandoned && chance(40)) {
                it.awaited = 0;
                onReply(it.flow, tl::unexpected(MemberError{}), m_now);
                return;
            }
        }
    }

    // One VM may be on the same side of the partition as an isolated member.
    void isolateOrHeal()
    {
        const size_t i = chance(60) ? latestPrimaryIndex() : pick(Members);
        m_isolated[i] = !m_isolated[i] && chance(30);
        m_vmBesideIsolated = pick(Vms + 1);
    }

    void read()
    {
        const CallerSession &session = m_sessions[pick(Sessions)];
        const auto opened = decodeSessionToken(session.token, Secret);
        RC_ASSERT(opened.has_value());
        const size_t vm = pick(Vms);
        const ReadRequirements requirements{
            requiredPosition(*opened, "g"), false, std::chrono::seconds(30), {}};
        const MemberView *reader = chooseReader(m_views[vm], requirements, {}, m_now);
        if (reader == nullptr) {
            return;
        }
        coverage().reads += 1;
        const MemberState &member = m_members[static_cast<size_t>(reader->name[0] - 'a')];
        for (const std::string &it : session.acknowledged) {
            RC_ASSERT(member.ledger.contains(effectKey(it)));
        }
    }

    // Performs the next step of a failover, which may stop after any step.
    void failover()
    {
        if (!chance(15)) {
            return;
        }
        if (m_fencedAt.empty()) {
            m_term = highestKnownTerm() + 1;
        }
        for (size_t i = 0; i < Members; ++i) {
            if (!m_isolated[i] && !chance(25) && m_members[i].fencedTerm <= m_term) {
                fence(m_members[i], m_term);
                m_fencedAt[i] = positionOf(m_members[i]);
            }
        }
        if (chance(15)) {
            m_fencedAt.clear();
        }
        if (m_fencedAt.size() <= Members / 2 || chance(30)) {
            return;
        }
        const auto best =
            std::max_element(m_fencedAt.begin(), m_fencedAt.end(),
                             [](const auto &a, const auto &b) { return a.second < b.second; });
        if (!m_isolated[best->first] && promote(m_members[best->first], m_term)) {
            coverage().promotions += 1;
        }
        m_fencedAt.clear();
    }

    uint64_t highestKnownTerm() const
    {
        uint64_t term = 0;
        for (const MemberState &it : m_members) {
            term = std::max({term, it.term, it.fencedTerm});
        }
        return term;
    }

    // The member that was promoted last, even if it has been fenced since.
    size_t latestPrimaryIndex() const
    {
        size_t latest = 0;
        for (size_t i = 1; i < Members; ++i) {
            const auto rank = [&](size_t n) {
                const uint64_t last = m_members[n].log.empty() ? 0 : m_members[n].log.back().term;
                return std::pair(last, m_members[n].log.size());
            };
            if (rank(i) > rank(latest)) {
                latest = i;
            }
        }
        return latest;
    }

    const MemberState &latestPrimary() const { return m_members[latestPrimaryIndex()]; }

    void checkSingleEffects() const
    {
        for (const MemberState &it : m_members) {
            for (const auto &[key, value] : it.ledger) {
                RC_ASSERT(value == "1");
            }
        }
    }

    // Heals all faults, elects a primary once more, delivers the messages in transit, and compares
    // the outcome with the answers that callers received.
    void checkFinalState()
    {
        std::fill(std::begin(m_isolated), std::end(m_isolated), false);
        const uint64_t term = highestKnownTerm() + 1;
        size_t best = 0;
        for (size_t i = 0; i < Members; ++i) {
            fence(m_members[i], term);
            best = positionOf(m_members[i]) > positionOf(m_members[best]) ? i : best;
        }
        RC_ASSERT(promote(m_members[best], term));
        for (const Message &it : m_messages) {
            executeAt(m_members[best], it, m_writes[m_attempts[it.attempt].write].id);
        }
        const auto &ledger = m_members[best].ledger;
        for (const LogicalWrite &it : m_writes) {
            const bool hasEffect = ledger.contains(effectKey(it.id));
            RC_ASSERT(!it.acknowledged || hasEffect);
            RC_ASSERT(!it.reportedNotRun || !hasEffect);
        }
        checkSingleEffects();
    }

    std::mt19937_64 m_random;
    Instant m_now{std::chrono::seconds(1000)};
    MemberState m_members[Members];
    bool m_isolated[Members] = {};
    size_t m_vmBesideIsolated = Vms;
    GroupView m_views[Vms];
    Instant m_silentUntil[Vms] = {};
    std::vector<CallerSession> m_sessions;
    std::vector<LogicalWrite> m_writes;
    std::vector<Attempt> m_attempts;
    std::vector<Message> m_messages;
    uint64_t m_lastMessage = 0;
    std::map<size_t, LogPosition> m_fencedAt;
    uint64_t m_term = 0;
};

} // namespace

// An answer is wrong if an acknowledged write is lost, or if a write reported as "not run" takes
// effect later, for example because a delayed request reaches a member after its VM has given up.
BOOST_AUTO_TEST_CASE(answersToCallersMatchEffectsUnderRandomFaults)
{
    const bool ok = rc::check("write path", [] {
        const uint64_t sample = *rc::gen::noShrink(rc::gen::arbitrary<uint32_t>());
        for (int i = 0; i < SeedsPerSample; ++i) {
            WritePathSimulation simulation(sample * SeedsPerSample + static_cast<uint64_t>(i));
            simulation.run();
        }
    });
    BOOST_TEST(ok);
    const Coverage &all = coverage();
    BOOST_TEST_MESSAGE("acknowledged " << all.acknowledged << ", replayed " << all.replayed
                                       << ", aborted " << all.aborted << ", unknown " << all.unknown
                                       << ", promotions " << all.promotions << ", reads "
                                       << all.reads << ", late arrivals " << all.lateArrivals
                                       << ", barriers " << all.barriers);
    BOOST_TEST(all.acknowledged > 10000U);
    BOOST_TEST(all.replayed > 1000U);
    BOOST_TEST(all.aborted > 100U);
    BOOST_TEST(all.unknown > 1000U);
    BOOST_TEST(all.promotions > 1000U);
    BOOST_TEST(all.reads > 1000U);
    BOOST_TEST(all.lateArrivals > 1000U);
    BOOST_TEST(all.barriers > 1000U);
}

} // namespace gentianplank
