#include "gentianplank/node/traffic/node_metrics.h"

#include "gentianplank/base/event_log.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace gentianplank {

namespace {

// Bucket bounds in seconds, from a fast read to the longest statement timeout.
const prometheus::Histogram::BucketBoundaries LatencyBuckets{0.002, 0.005, 0.01, 0.02, 0.05,
                                                             0.1,   0.2,   0.4,  0.8,  1.6};

constexpr double SecondsPerMicrosecond = 1e-6;

// Exports a counter for each log event; the set of event names is small and fixed.
prometheus::MetricFamily eventFamily()
{
    prometheus::MetricFamily family;
    family.name = "gentianplank_events_total";
    family.help = "Events by the name that they have in the log";
    family.type = prometheus::MetricType::Counter;
    for (const auto &[event, n] : eventCounts()) {
        prometheus::ClientMetric metric;
        metric.label = {{"event", event}};
        metric.counter.value = static_cast<double>(n);
        family.metric.push_back(std::move(metric));
    }
    return family;
}

prometheus::MetricFamily makeFamily(const char *name, const char *help, prometheus::MetricType type)
{
    prometheus::MetricFamily family;
    family.name = name;
    family.help = help;
    family.type = type;
    return family;
}

void addGauge(prometheus::MetricFamily &family, double value, std::string_view holder = {})
{
    prometheus::ClientMetric metric;
    if (!holder.empty()) {
        metric.label = {{"holder", std::string(holder)}};
    }
    metric.gauge.value = value;
    family.metric.push_back(std::move(metric));
}

void appendClientFamilies(const ClientUse &use, std::vector<prometheus::MetricFamily> &families)
{
    auto bytes = makeFamily("gentianplank_memory_bytes",
                            "Memory held for clients, peers and members, by what it holds",
                            prometheus::MetricType::Gauge);
    for (size_t i = 0; i < use.bytes.size(); ++i) {
        addGauge(bytes, static_cast<double>(use.bytes[i]), nameOf(static_cast<MemoryHolder>(i)));
    }
    auto sessions = makeFamily("gentianplank_sessions", "Open connections of callers",
                               prometheus::MetricType::Gauge);
    addGauge(sessions, static_cast<double>(use.sessions));
    auto paused = makeFamily("gentianplank_accept_paused",
                             "1 while no callers are accepted, as the memory limit is reached",
                             prometheus::MetricType::Gauge);
    addGauge(paused, use.isAcceptPaused ? 1 : 0);
    auto closed = makeFamily("gentianplank_sessions_closed_total", "Sessions ended, by reason",
                             prometheus::MetricType::Counter);
    for (size_t i = 0; i < use.closed.size(); ++i) {
        prometheus::ClientMetric metric;
        metric.label = {{"reason", std::string(nameOf(static_cast<CloseReason>(i)))}};
        metric.counter.value = static_cast<double>(use.closed[i]);
        closed.metric.push_back(std::move(metric));
    }
    for (auto *it : {&bytes, &sessions, &paused, &closed}) {
        families.push_back(std::move(*it));
    }
}

} // namespace

struct NodeMetrics::State
{
    prometheus::Registry registry;
    prometheus::Counter &succeeded = statements().Add({{"outcome", "done"}});
    prometheus::Counter &notExecuted = statements().Add({{"outcome", "not_kept"}});
    prometheus::Counter &unknown = statements().Add({{"outcome", "unknown"}});
    prometheus::Counter &failed = statements().Add({{"outcome", "failed"}});
    prometheus::Histogram &latency = prometheus::BuildHistogram()
                                         .Name("gentianplank_statement_seconds")
                                         .Help("Time from a statement's arrival to its outcome")
                                         .Register(registry)
                                         .Add({}, LatencyBuckets);
    prometheus::Histogram &overhead =
        prometheus::BuildHistogram()
            .Name("gentianplank_statement_added_seconds")
            .Help("Time of a statement that is not the member's answer and the way to it")
            .Register(registry)
            .Add({}, LatencyBuckets);
    prometheus::Counter &connections = prometheus::BuildCounter()
                                           .Name("gentianplank_member_connections_total")
                                           .Help("Connections opened to members")
                                           .Register(registry)
                                           .Add({});
    prometheus::Gauge &droppedLines = prometheus::BuildGauge()
                                          .Name("gentianplank_log_lines_dropped")
                                          .Help("Log lines dropped since the start")
                                          .Register(registry)
                                          .Add({});

    std::array<prometheus::Counter *, DistanceCount> sentByDistance = byDistance(
        "gentianplank_sent_by_distance_total", "Attempts of statements by distance to the member");
    std::array<prometheus::Counter *, DistanceCount> bytesByDistance =
        byDistance("gentianplank_bytes_by_distance_total",
                   "Bytes of statements and their answers by distance to the member");

private:
    std::array<prometheus::Counter *, DistanceCount> byDistance(const std::string &name,
                                                                const std::string &help)
    {
        auto &family = prometheus::BuildCounter().Name(name).Help(help).Register(registry);
        return {&family.Add({{"distance", "same_zone"}}),
                &family.Add({{"distance", "same_region"}}),
                &family.Add({{"distance", "other_region"}})};
    }
    prometheus::Family<prometheus::Counter> &statements()
    {
        return prometheus::BuildCounter()
            .Name("gentianplank_statements_total")
            .Help("Statements by what their callers were told")
            .Register(registry);
    }
};

NodeMetrics::NodeMetrics()
    : m_state(std::make_unique<State>())
{}

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::count(const StatementReport &report)
{
    m_state->latency.Observe(static_cast<double>(report.duration.count()) * SecondsPerMicrosecond);
    m_state->overhead.Observe(static_cast<double>(report.overhead.count()) * SecondsPerMicrosecond);
    if (report.succeeded) {
        m_state->succeeded.Increment();
    } else if (report.code && guaranteesNoEffect(*report.code)) {
        m_state->notExecuted.Increment();
    } else if (report.code == ErrorCode::Unknown || report.code == ErrorCode::Timeout) {
        m_state->unknown.Increment();
    } else {
        m_state->failed.Increment();
    }
}

void NodeMetrics::countConnection()
{
    m_state->connections.Increment();
}

void NodeMetrics::countPath(Distance distance, size_t bytes)
{
    m_state->sentByDistance[static_cast<size_t>(distance)]->Increment();
    m_state->bytesByDistance[static_cast<size_t>(distance)]->Increment(static_cast<double>(bytes));
}

std::string NodeMetrics::text(const ClientUse &use) const
{
    m_state->droppedLines.Set(static_cast<double>(droppedEventLines()));
    auto families = m_state->registry.Collect();
    families.push_back(eventFamily());
    appendClientFamilies(use, families);
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace gentianplank
