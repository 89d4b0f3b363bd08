// Counters and histograms of an entry VM, by prometheus-cpp.
#pragma once

#include "gentianplank/node/traffic/caller_session.h"

#include <memory>
#include <string>

namespace gentianplank {

// Thread-safe.
class NodeMetrics
{
public:
    NodeMetrics();
    ~NodeMetrics();

    void count(const StatementReport &report);
    void countConnection();

    // All metrics in the text format of Prometheus.
    std::string text() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
