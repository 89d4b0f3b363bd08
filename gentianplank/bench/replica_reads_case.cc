#include "gentianplank/bench/replica_reads_case.h"

#include "gentianplank/target/read_choice.h"

#include <algorithm>
#include <map>
#include <random>

namespace gentianplank {

namespace {

constexpr Duration Step = std::chrono::milliseconds(1);
constexpr Duration RunTime = std::chrono::seconds(60);
constexpr Duration Lag = std::chrono::milliseconds(50);
constexpr Duration ReportInterval = std::chrono::milliseconds(50);
constexpr Duration LongestThought = std::chrono::milliseconds(200);
constexpr size_t SessionsEach = 20;
constexpr uint64_t OperationsToOneWrite = 10;
constexpr uint64_t Term = 1;
constexpr double Percent = 100.0;
const Instant Start{std::chrono::seconds(1000)};

// The primary's log: when each entry was written. Replicas hold an entry Lag later.
struct Log
{
    std::vector<Instant> writtenAt;

    uint64_t positionAt(bool isPrimary, Instant now) const
    {
        const Instant visible = isPrimary ? now : now - Lag;
        const auto it = std::upper_bound(writtenAt.begin(), writtenAt.end(), visible);
        return static_cast<uint64_t>(it - writtenAt.begin());
    }
};

struct ReadSession
{
    Place place;
    Instant actsAt{};
    // The last acknowledged write, and one that waits for its confirmation.
    LogPosition written;
    std::optional<LogPosition> pending;
};

struct Counts
{
    uint64_t reads = 0;
    uint64_t onReplicas = 0;
    uint64_t stale = 0;
    uint64_t unserved = 0;
};

// One dispatcher's view of the group, fed by reports that take the link's latency.
struct DispatcherModel
{
    Place place;
    GroupView view;
    std::multimap<Instant, MemberReport> inFlight;
};

class ReplicaReads
{
public:
    ReplicaReads(const BenchOptions &options, bool isNaive)
        : m_fleet(options.fleet)
        , m_random(options.seed)
        , m_isNaive(isNaive)
    {
        for (const Place &it : {m_fleet.vms.front(), m_fleet.vms.back()}) {
            m_dispatchers.push_back({it, makeView(), {}});
            for (size_t i = 0; i < SessionsEach; ++i) {
                m_sessions.push_back({it, Start + thought(), {}, {}});
            }
        }
        m_reported.resize(m_fleet.members.size());
    }

    Counts run()
    {
        for (Instant now = Start; now < Start + RunTime; now += Step) {
            sendReports(now);
            for (DispatcherModel &it : m_dispatchers) {
                receiveReports(it, now);
            }
            for (size_t i = 0; i < m_sessions.size(); ++i) {
                act(m_sessions[i], m_dispatchers[i / SessionsEach], now);
            }
        }
        return m_counts;
    }

private:
    struct LastReport
    {
        Instant at{};
        uint64_t position = 0;
    };

    static std::string nameOf(size_t member) { return "member-" + std::to_string(member); }

    GroupView makeView() const
    {
        configuration::v1::Target target;
        target.set_group("ledger");
        for (size_t i = 0; i < m_fleet.members.size(); ++i) {
            configuration::v1::Member *member = target.add_members();
            member->set_name(nameOf(i));
            member->set_zone(m_fleet.members[i].zone);
            member->set_region(m_fleet.members[i].region);
        }
        return makeGroupView(target);
    }

    Duration thought()
    {
        const auto most = static_cast<uint64_t>(LongestThought / Step);
        return Step * static_cast<int64_t>(1 + m_random() % most);
    }

    void sendReports(Instant now)
    {
        for (size_t i = 0; i < m_reported.size(); ++i) {
            const uint64_t position = m_log.positionAt(i == 0, now);
            LastReport &last = m_reported[i];
            if (position == last.position && now - last.at < ReportInterval) {
                continue;
            }
            last = {now, position};
            for (DispatcherModel &it : m_dispatchers) {
                const Instant at = now + latencyBetween(m_fleet, m_fleet.members[i], it.place);
                MemberReport report;
                report.member = nameOf(i);
                report.role = i == 0 ? Role::Primary : Role::Replica;
                report.position = {Term, position};
                report.fencedTerm = Term;
                report.receivedAt = at;
                it.inFlight.emplace(at, report);
            }
        }
    }

    static void receiveReports(DispatcherModel &dispatcher, Instant now)
    {
        auto &inFlight = dispatcher.inFlight;
        while (!inFlight.empty() && inFlight.begin()->first <= now) {
            applyReport(dispatcher.view, inFlight.begin()->second);
            inFlight.erase(inFlight.begin());
        }
    }

    void act(ReadSession &session, const DispatcherModel &dispatcher, Instant now)
    {
        if (session.pending) {
            if (!m_isNaive && !isConfirmed(dispatcher.view, *session.pending)) {
                return;
            }
            session.written = *session.pending;
            session.pending.reset();
            session.actsAt = now + thought();
        }
        if (now < session.actsAt) {
            return;
        }
        session.actsAt = now + thought();
        if (m_random() % OperationsToOneWrite == 0) {
            m_log.writtenAt.push_back(now);
            session.pending = LogPosition{Term, m_log.writtenAt.size()};
        } else {
            read(session, dispatcher, now);
        }
    }

    void read(const ReadSession &session, const DispatcherModel &dispatcher, Instant now)
    {
        // The naive variant takes the same choice without the session's position.
        ReadRequirements need;
        need.position = m_isNaive ? LogPosition{} : session.written;
        const MemberView *member = chooseReader(dispatcher.view, need, dispatcher.place, now);
        ++m_counts.reads;
        if (member == nullptr) {
            ++m_counts.unserved;
            return;
        }
        const bool isPrimary = member->name == nameOf(0);
        const Instant servedAt = now + latencyBetween(m_fleet, dispatcher.place, member->place);
        m_counts.onReplicas += isPrimary ? 0 : 1;
        m_counts.stale += m_log.positionAt(isPrimary, servedAt) < session.written.position ? 1 : 0;
    }

    const FleetShape &m_fleet;
    std::mt19937_64 m_random;
    bool m_isNaive;
    Log m_log;
    std::vector<LastReport> m_reported;
    std::vector<DispatcherModel> m_dispatchers;
    std::vector<ReadSession> m_sessions;
    Counts m_counts;
};

double percentOf(uint64_t part, uint64_t whole)
{
    return whole == 0 ? 0 : Percent * static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

CaseReport runReplicaReadsCase(const BenchOptions &options)
{
    const Counts counts = ReplicaReads(options, false).run();
    const Counts naive = ReplicaReads(options, true).run();
    CaseReport report;
    addFigure(report, {"share_on_replicas", "%", percentOf(counts.onReplicas, counts.reads),
                       percentOf(naive.onReplicas, naive.reads), atLeast(80)});
    addFigure(report, {"stale_for_session", "reads", static_cast<double>(counts.stale),
                       static_cast<double>(naive.stale), atMost(0)});
    addFigure(report, {"without_a_member",
                       "reads",
                       static_cast<double>(counts.unserved),
                       static_cast<double>(naive.unserved),
                       {}});
    addFigure(report, {"reads",
                       "reads",
                       static_cast<double>(counts.reads),
                       static_cast<double>(naive.reads),
                       {}});
    return report;
}

} // namespace gentianplank
