#include "gentianplank/bench/replica_reads_case.h"

#include "gentianplank/target/read_choice.h"

#include <algorithm>
#include <map>
#include <random>

namespace gentianplank {

namespace {

constexpr Duration Step = std::chrono::milliseconds(1);
constexpr Duration RunDuration = std::chrono::seconds(60);
constexpr Duration ReplicaLag = std::chrono::milliseconds(50);
constexpr Duration ReportInterval = std::chrono::milliseconds(50);
constexpr Duration MaxThinkTime = std::chrono::milliseconds(200);
constexpr size_t SessionsPerDispatcher = 20;
constexpr uint64_t OperationsPerWrite = 10;
constexpr uint64_t Term = 1;
constexpr double Percent = 100.0;
const Instant Start{std::chrono::seconds(1000)};

// The times at which the log's entries were written at the primary. Replicas have an entry
// ReplicaLag later.
struct WriteLog
{
    std::vector<Instant> writtenAt;

    uint64_t positionAt(bool isPrimary, Instant now) const
    {
        const Instant visible = isPrimary ? now : now - ReplicaLag;
        const auto it = std::upper_bound(writtenAt.begin(), writtenAt.end(), visible);
        return static_cast<uint64_t>(it - writtenAt.begin());
    }
};

struct ReadSession
{
    Place place;
    Instant nextActionAt{};
    // The last acknowledged write.
    LogPosition lastWrite;
    // A write that is not acknowledged yet; the session waits for it.
    std::optional<LogPosition> unconfirmedWrite;
};

struct Counts
{
    uint64_t reads = 0;
    uint64_t onReplicas = 0;
    uint64_t stale = 0;
    uint64_t unserved = 0;
};

// A dispatcher's view of the group. Members' reports arrive after the latency of their link.
struct DispatcherModel
{
    Place place;
    GroupView view;
    std::multimap<Instant, MemberReport> inFlight;
};

class ReplicaReadsSimulation
{
public:
    ReplicaReadsSimulation(const BenchOptions &options, bool isNaive)
        : m_fleet(options.fleet)
        , m_random(options.seed)
        , m_isNaive(isNaive)
    {
        for (const Place &it : {m_fleet.vms.front(), m_fleet.vms.back()}) {
            m_dispatchers.push_back({it, makeView(), {}});
            for (size_t i = 0; i < SessionsPerDispatcher; ++i) {
                m_sessions.push_back({it, Start + thinkTime(), {}, {}});
            }
        }
        m_lastReports.resize(m_fleet.members.size());
    }

    Counts run()
    {
        for (Instant now = Start; now < Start + RunDuration; now += Step) {
            sendReports(now);
            for (DispatcherModel &it : m_dispatchers) {
                receiveReports(it, now);
            }
            for (size_t i = 0; i < m_sessions.size(); ++i) {
                runSession(m_sessions[i], m_dispatchers[i / SessionsPerDispatcher], now);
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

    Duration thinkTime()
    {
        const auto maxSteps = static_cast<uint64_t>(MaxThinkTime / Step);
        return Step * static_cast<int64_t>(1 + m_random() % maxSteps);
    }

    void sendReports(Instant now)
    {
        for (size_t i = 0; i < m_lastReports.size(); ++i) {
            const uint64_t position = m_log.positionAt(i == 0, now);
            LastReport &last = m_lastReports[i];
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

    void runSession(ReadSession &session, const DispatcherModel &dispatcher, Instant now)
    {
        if (session.unconfirmedWrite) {
            if (!m_isNaive && !isConfirmed(dispatcher.view, *session.unconfirmedWrite)) {
                return;
            }
            session.lastWrite = *session.unconfirmedWrite;
            session.unconfirmedWrite.reset();
            session.nextActionAt = now + thinkTime();
        }
        if (now < session.nextActionAt) {
            return;
        }
        session.nextActionAt = now + thinkTime();
        if (m_random() % OperationsPerWrite == 0) {
            m_log.writtenAt.push_back(now);
            session.unconfirmedWrite = LogPosition{Term, m_log.writtenAt.size()};
        } else {
            read(session, dispatcher, now);
        }
    }

    void read(const ReadSession &session, const DispatcherModel &dispatcher, Instant now)
    {
        // The naive policy chooses the member in the same way, but ignores the session's position.
        ReadRequirements requirements;
        requirements.position = m_isNaive ? LogPosition{} : session.lastWrite;
        const MemberView *member =
            chooseReader(dispatcher.view, requirements, dispatcher.place, now);
        ++m_counts.reads;
        if (member == nullptr) {
            ++m_counts.unserved;
            return;
        }
        const bool isPrimary = member->name == nameOf(0);
        const Instant servedAt = now + latencyBetween(m_fleet, dispatcher.place, member->place);
        m_counts.onReplicas += isPrimary ? 0 : 1;
        m_counts.stale +=
            m_log.positionAt(isPrimary, servedAt) < session.lastWrite.position ? 1 : 0;
    }

    const FleetShape &m_fleet;
    std::mt19937_64 m_random;
    bool m_isNaive;
    WriteLog m_log;
    std::vector<LastReport> m_lastReports;
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
    const Counts counts = ReplicaReadsSimulation(options, false).run();
    const Counts naive = ReplicaReadsSimulation(options, true).run();
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
