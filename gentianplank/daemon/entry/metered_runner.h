// A statement runner that forwards to another one and records counts and latencies.
//
//     MeteredRunner runner(router, groups, metrics);
#pragma once

#include "gentianplank/metrics/metrics.h"
#include "gentianplank/statement/statement.h"
#include "gentianplank/target/group_view_registry.h"

namespace gentianplank {

// Thread-safe.
class MeteredRunner : public StatementRunner
{
public:
    // `runner`, `groups` and `metrics` outlive this runner.
    MeteredRunner(StatementRunner &runner, const GroupViewRegistry &groups, Metrics &metrics);

    tl::expected<StatementAnswer, Refusal> execute(const StatementRequest &request) override;
    tl::expected<PulledAnswer, Refusal> pull(const StatementRequest &request,
                                             const ChunkSink &sink) override;
    tl::expected<std::unique_ptr<TransactionRun>, Refusal>
    begin(const StatementRequest &request) override;

private:
    // Records whether the read was served by the group's primary or by a replica.
    void recordReadRole(const StatementRequest &request, const std::string &member);

    StatementRunner &m_runner;
    const GroupViewRegistry &m_groups;
    Metrics &m_metrics;
};

} // namespace gentianplank
