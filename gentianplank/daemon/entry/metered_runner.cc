#include "gentianplank/daemon/entry/metered_runner.h"

namespace gentianplank {

namespace {

template <typename Answer>
void recordAnswer(Metrics &metrics, StatementKind kind, const tl::expected<Answer, Refusal> &answer,
                  Instant start)
{
    const Duration latency = steadyNow() - start;
    if (answer) {
        metrics.served(kind, latency);
    } else {
        metrics.refused(kind, answer.error(), latency);
    }
}

// Records a transaction once, at its commit or its first refusal.
class MeteredTransaction : public TransactionRun
{
public:
    MeteredTransaction(std::unique_ptr<TransactionRun> run, Metrics &metrics, Instant start)
        : m_run(std::move(run))
        , m_metrics(metrics)
        , m_start(start)
    {}

    tl::expected<StatementAnswer, Refusal> execute(const Statement &statement,
                                                   Instant deadline) override
    {
        auto answer = m_run->execute(statement, deadline);
        if (!answer) {
            recordAnswer(m_metrics, StatementKind::Transaction, answer, m_start);
        }
        return answer;
    }

    tl::expected<StatementAnswer, Refusal> commit(const CommitRequest &request) override
    {
        auto answer = m_run->commit(request);
        recordAnswer(m_metrics, StatementKind::Transaction, answer, m_start);
        return answer;
    }

    void rollback() override { m_run->rollback(); }

private:
    std::unique_ptr<TransactionRun> m_run;
    Metrics &m_metrics;
    Instant m_start;
};

} // namespace

MeteredRunner::MeteredRunner(StatementRunner &runner, const GroupViewRegistry &groups,
                             Metrics &metrics)
    : m_runner(runner)
    , m_groups(groups)
    , m_metrics(metrics)
{}

void MeteredRunner::recordReadRole(const StatementRequest &request, const std::string &member)
{
    const auto view = m_groups.view(request.group);
    const MemberView *primary = view == nullptr ? nullptr : primaryOf(*view);
    m_metrics.readServed(primary != nullptr && primary->name == member);
}

tl::expected<StatementAnswer, Refusal> MeteredRunner::execute(const StatementRequest &request)
{
    const Instant start = steadyNow();
    const bool isRead = request.statement.read_only();
    auto answer = m_runner.execute(request);
    recordAnswer(m_metrics, isRead ? StatementKind::Read : StatementKind::Write, answer, start);
    if (answer && isRead) {
        recordReadRole(request, answer->member);
    }
    if (answer && answer->replayed) {
        m_metrics.replayed();
    }
    return answer;
}

tl::expected<PulledAnswer, Refusal> MeteredRunner::pull(const StatementRequest &request,
                                                        const ChunkSink &sink)
{
    const Instant start = steadyNow();
    auto answer = m_runner.pull(request, sink);
    recordAnswer(m_metrics, StatementKind::Pull, answer, start);
    if (answer) {
        recordReadRole(request, answer->member);
    }
    return answer;
}

tl::expected<std::unique_ptr<TransactionRun>, Refusal>
MeteredRunner::begin(const StatementRequest &request)
{
    const Instant start = steadyNow();
    auto run = m_runner.begin(request);
    if (!run) {
        recordAnswer(m_metrics, StatementKind::Transaction, run, start);
        return tl::unexpected(run.error());
    }
    return std::make_unique<MeteredTransaction>(std::move(*run), m_metrics, start);
}

} // namespace gentianplank
