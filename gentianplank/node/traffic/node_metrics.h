// Prometheus metrics of an entry VM.
#pragma once

#include "gentianplank/node/traffic/caller_session.h"

#include <array>
#include <cstddef>
#include <memory>
#include <string>

namespace gentianplank {

// What clients hold of this VM, at the time of a metrics request.
struct ClientUse
{
    // By MemoryHolder.
    std::array<size_t, MemoryHolderCount> bytes{};
    // Sessions ended since the start, by CloseReason.
    std::array<uint64_t, CloseReasonCount> closed{};
    size_t sessions = 0;
    bool isAcceptPaused = false;
};

// Thread-safe.
class NodeMetrics
{
public:
    NodeMetrics();
    ~NodeMetrics();

    // Counts a finished statement.
    void count(const StatementReport &report);
    // Counts a connection opened to a member.
    void countConnection();
    // Counts an attempt of a statement by the distance to its member, with its bytes both ways.
    void countPath(Distance distance, size_t bytes);

    // Returns all metrics in the Prometheus text format.
    std::string text(const ClientUse &use) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
