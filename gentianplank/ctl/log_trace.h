// Merges the log lines of one request from the logs of several VMs.
//
//     TraceLog log{"vm-1", in};
//     for (const TracedLine &it : traceRequest("5c0e7a21", logs)) { ... }
#pragma once

#include <cstdint>
#include <istream>
#include <span>
#include <string>
#include <vector>

namespace gentianplank {

// The log of one VM, or a merged log whose lines name their VM.
struct TraceLog
{
    // Copied to the lines of the log; usually the file name.
    std::string name;
    std::istream *in = nullptr;
};

struct TracedLine
{
    // Value of the line's `time_ms` field.
    int64_t timeMs = 0;
    // Name of the log.
    std::string log;
    std::string text;
    // True for lines of the request itself, false for state events around it.
    bool namesRequest = false;
};

// Returns the lines whose `id` field is the request id, and the events within a few seconds around
// them that changed what the VMs knew about primaries, members, the store, peers and the
// configuration. Ordered by time, as the VMs' clocks have it; lines without a time are skipped.
// Reads the streams to their end; empty if no line has the id.
std::vector<TracedLine> traceRequest(const std::string &requestId, std::span<const TraceLog> logs);

} // namespace gentianplank
