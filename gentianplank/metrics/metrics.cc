#include "gentianplank/metrics/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <atomic>
#include <exception>
#include <mutex>

namespace gentianplank {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Histogram;

constexpr size_t KindCount = 4;
constexpr size_t OutcomeCount = 3;
constexpr size_t ReasonCount = static_cast<size_t>(Reason::Aborted) + 1;

const Histogram::BucketBoundaries &latencyBuckets()
{
    static const Histogram::BucketBoundaries bounds{0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03,
                                                    0.1,    0.3,    1,     3,     10};
    return bounds;
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// A counter that is registered at its first use, so that series that never occur aren't exposed.
class LazyCounter
{
public:
    void increment(Family<Counter> &family, const MetricLabels &labels)
    {
        Counter *counter = m_counter.load(std::memory_order_acquire);
        if (counter == nullptr) {
            // Threads may race here: adding the same labels again returns the same counter.
            counter = &family.Add(labels);
            m_counter.store(counter, std::memory_order_release);
        }
        counter->Increment();
    }

    Counter *get() const { return m_counter.load(std::memory_order_acquire); }

private:
    std::atomic<Counter *> m_counter{nullptr};
};

// Gauges whose values are read at each collection.
class SampledGauges : public prometheus::Collectable
{
public:
    struct Gauge
    {
        std::string name;
        std::string help;
        std::function<std::vector<LabelledValue>()> read;
    };

    void add(Gauge gauge)
    {
        const std::lock_guard lock(m_mutex);
        m_gauges.push_back(std::move(gauge));
    }

    void clear()
    {
        const std::lock_guard lock(m_mutex);
        m_gauges.clear();
    }

    std::vector<prometheus::MetricFamily> Collect() const override
    {
        const std::lock_guard lock(m_mutex);
        std::vector<prometheus::MetricFamily> families;
        for (const Gauge &gauge : m_gauges) {
            prometheus::MetricFamily family;
            family.name = gauge.name;
            family.help = gauge.help;
            family.type = prometheus::MetricType::Gauge;
            for (const LabelledValue &it : gauge.read()) {
                prometheus::ClientMetric metric;
                for (const auto &[name, value] : it.labels) {
                    metric.label.push_back({name, value});
                }
                metric.gauge.value = it.value;
                family.metric.push_back(std::move(metric));
            }
            families.push_back(std::move(family));
        }
        return families;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<Gauge> m_gauges;
};

Family<Counter> &counterFamily(prometheus::Registry &registry, const std::string &name,
                               const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

Family<Histogram> &histogramFamily(prometheus::Registry &registry, const std::string &name,
                                   const std::string &help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

} // namespace

std::string_view toString(StatementKind kind)
{
    constexpr std::array<std::string_view, KindCount> names{"read", "write", "pull", "transaction"};
    return names[static_cast<size_t>(kind)];
}

struct Metrics::State
{
    State()
    {
        for (size_t i = 0; i < KindCount; ++i) {
            const std::string kind(toString(static_cast<StatementKind>(i)));
            latency[i] = &latencyFamily.Add({{"kind", kind}}, latencyBuckets());
        }
    }

    using OutcomeCounters = std::array<std::array<LazyCounter, ReasonCount>, OutcomeCount>;

    std::shared_ptr<prometheus::Registry> registry = std::make_shared<prometheus::Registry>();
    Family<Counter> &statements = counterFamily(*registry, "gentianplank_statements_total",
                                                "Statements that were let in, by kind and fate.");
    Family<Counter> &entryRefusals = counterFamily(*registry, "gentianplank_entry_refusals_total",
                                                   "Requests refused before they were let in.");
    Family<Counter> &reads = counterFamily(*registry, "gentianplank_reads_served_total",
                                           "Reads by the role of the member that served them.");
    Family<Counter> &replays = counterFamily(*registry, "gentianplank_replayed_answers_total",
                                             "Answers that a group had recorded for a request id.");
    Family<Counter> &storeCalls = counterFamily(*registry, "gentianplank_store_requests_total",
                                                "Calls to the platform's store.");
    Family<Histogram> &latencyFamily =
        histogramFamily(*registry, "gentianplank_statement_duration_seconds",
                        "Time from the entry to the answer or refusal.");
    Family<Histogram> &storeLatency =
        histogramFamily(*registry, "gentianplank_store_request_duration_seconds",
                        "Time of calls to the platform's store.");
    std::array<Histogram *, KindCount> latency{};
    std::array<LazyCounter, KindCount> servedCounters;
    std::array<OutcomeCounters, KindCount> refusedCounters;
    std::array<LazyCounter, ReasonCount> entryCounters;
    std::array<LazyCounter, 2> readCounters;
    LazyCounter replayCounter;
    std::shared_ptr<SampledGauges> sampled = std::make_shared<SampledGauges>();
    std::unique_ptr<prometheus::Exposer> exposer;
};

Metrics::Metrics()
    : m_state(std::make_unique<State>())
{}

Metrics::~Metrics()
{
    stop();
}

void Metrics::served(StatementKind kind, Duration latency)
{
    const auto i = static_cast<size_t>(kind);
    m_state->servedCounters[i].increment(
        m_state->statements,
        {{"kind", std::string(toString(kind))}, {"fate", "ran"}, {"reason", ""}});
    m_state->latency[i]->Observe(toSeconds(latency));
}

void Metrics::refused(StatementKind kind, const Refusal &refusal, Duration latency)
{
    const auto i = static_cast<size_t>(kind);
    m_state
        ->refusedCounters[i][static_cast<size_t>(refusal.outcome)]
                         [static_cast<size_t>(refusal.reason)]
        .increment(m_state->statements, {{"kind", std::string(toString(kind))},
                                         {"fate", std::string(toString(refusal.outcome))},
                                         {"reason", std::string(toString(refusal.reason))}});
    m_state->latency[i]->Observe(toSeconds(latency));
}

void Metrics::refusedAtEntry(const Refusal &refusal)
{
    m_state->entryCounters[static_cast<size_t>(refusal.reason)].increment(
        m_state->entryRefusals, {{"reason", std::string(toString(refusal.reason))}});
}

void Metrics::readServed(bool byPrimary)
{
    m_state->readCounters[byPrimary ? 1 : 0].increment(
        m_state->reads, {{"role", byPrimary ? "primary" : "replica"}});
}

void Metrics::replayed()
{
    m_state->replayCounter.increment(m_state->replays, {});
}

void Metrics::storeCalled(std::string_view operation, std::string_view outcome, Duration latency)
{
    m_state->storeCalls
        .Add({{"operation", std::string(operation)}, {"outcome", std::string(outcome)}})
        .Increment();
    m_state->storeLatency.Add({{"operation", std::string(operation)}}, latencyBuckets())
        .Observe(toSeconds(latency));
}

void Metrics::sample(const std::string &name, const std::string &help, MetricLabels labels,
                     std::function<double()> read)
{
    sampleEach(name, help, [labels = std::move(labels), read = std::move(read)] {
        return std::vector<LabelledValue>{{labels, read()}};
    });
}

void Metrics::sampleEach(const std::string &name, const std::string &help,
                         std::function<std::vector<LabelledValue>()> read)
{
    m_state->sampled->add({name, help, std::move(read)});
}

std::string Metrics::expose(const std::string &address)
{
    try {
        m_state->exposer = std::make_unique<prometheus::Exposer>(address);
    } catch (const std::exception &) {
        return "can't listen on " + address + " for metrics";
    }
    m_state->exposer->RegisterCollectable(m_state->registry);
    m_state->exposer->RegisterCollectable(m_state->sampled);
    return {};
}

void Metrics::stop()
{
    m_state->exposer.reset();
    m_state->sampled->clear();
}

std::string Metrics::text() const
{
    auto families = m_state->registry->Collect();
    const auto sampled = m_state->sampled->Collect();
    families.insert(families.end(), sampled.begin(), sampled.end());
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace gentianplank
