// The daemon's Prometheus metrics, built on prometheus-cpp. Metric names have the prefix
// "gentianplank_"; names of metrics with a unit end in it.
//
//     Metrics metrics;
//     metrics.served(StatementKind::Read, latency);
//     metrics.refused(StatementKind::Write, refusal, latency);
//     metrics.sample("gentianplank_queued_requests", "Requests that wait for a target.", {},
//                    [&] { return double(queue.size()); });
//     auto fault = metrics.expose("127.0.0.1:9100");
#pragma once

#include "gentianplank/base/refusal.h"
#include "gentianplank/base/time.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

enum class StatementKind {
    Read,
    Write,
    Pull,
    Transaction,
};

std::string_view toString(StatementKind kind);

using MetricLabels = std::map<std::string, std::string>;

// One series of a gauge that has several, such as one for each group.
struct LabelledValue
{
    MetricLabels labels;
    double value = 0;
};

// Registry of the process's metrics. Thread-safe. Counting statements, reads and replays takes no
// lock on the registry once the series exists.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    // Counts a statement that was answered. `latency` is the time since its admission.
    void served(StatementKind kind, Duration latency);

    // Counts a statement that was admitted and then refused.
    void refused(StatementKind kind, const Refusal &refusal, Duration latency);

    // Counts a request that was refused before admission.
    void refusedAtEntry(const Refusal &refusal);

    // Counts a read by the role of the member that served it.
    void readServed(bool byPrimary);

    // Counts a request answered with the result that the group had recorded for its request id.
    void replayed();

    // Counts a call to the platform's store. `outcome` is "ok", "unavailable" or "unknown".
    void storeCalled(std::string_view operation, std::string_view outcome, Duration latency);

    // Registers a gauge whose value is read by `read` at each collection, on the collecting thread.
    // `read` must be thread-safe and fast, and must stay valid until stop() returns.
    void sample(const std::string &name, const std::string &help, MetricLabels labels,
                std::function<double()> read);

    // Same as sample(), but with one series for each value that `read` returns.
    void sampleEach(const std::string &name, const std::string &help,
                    std::function<std::vector<LabelledValue>()> read);

    // Serves /metrics on `address`, "IP:port", until stop(). Returns an error message, or an empty
    // string.
    std::string expose(const std::string &address);

    // Stops serving and removes the sampled gauges. Blocks until a running collection has finished.
    void stop();

    // Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
