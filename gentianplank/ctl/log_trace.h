// Gathers from several VMs' logs what happened to one request.
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

// The log of one VM, or of several whose lines name them.
struct TraceLog
{
    std::string name;
    std::istream *in = nullptr;
};

struct TracedLine
{
    int64_t timeMs = 0;
    std::string log;
    std::string text;
    // It names the request; other lines tell what changed around it.
    bool isOwn = false;
};

// Returns the lines that name the request, and those within a few seconds around them that tell
// what the VMs believed: of primaries, members, the store, peers and the configuration. In the
// order of their times; lines without a time are passed over.
std::vector<TracedLine> traceRequest(const std::string &requestId, std::span<const TraceLog> logs);

} // namespace gentianplank
