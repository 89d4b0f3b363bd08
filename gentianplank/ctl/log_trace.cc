#include "gentianplank/ctl/log_trace.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>

namespace gentianplank {

namespace {

// State events precede the requests that they affect by up to 5 s, the longest lease.
constexpr int64_t WindowBeforeMs = 5000;
constexpr int64_t WindowAfterMs = 1000;

constexpr std::array<std::string_view, 11> StateEventPrefixes{
    "primary.", "group.", "member.", "store.", "configuration.", "peer.", "relay.",
    "duty.",    "vm.",    "start",   "stop"};

// Returns the value of NAME=VALUE in a line, up to the next space; empty if there is none.
std::string_view findField(std::string_view line, std::string_view name)
{
    const std::string key = std::string(name) + "=";
    size_t start = line.find(key);
    while (start != std::string_view::npos && start > 0 && line[start - 1] != ' ') {
        start = line.find(key, start + 1);
    }
    if (start == std::string_view::npos) {
        return {};
    }
    start += key.size();
    return line.substr(start, line.find(' ', start) - start);
}

std::optional<int64_t> parseTimeMs(std::string_view line)
{
    const std::string_view text = findField(line, "time_ms");
    int64_t ms = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (text.empty() || result.ec != std::errc()) {
        return std::nullopt;
    }
    return ms;
}

bool isStateEvent(std::string_view line)
{
    const std::string_view event = findField(line, "event");
    return std::any_of(StateEventPrefixes.begin(), StateEventPrefixes.end(),
                       [&](std::string_view it) { return event.starts_with(it); });
}

} // namespace

std::vector<TracedLine> traceRequest(const std::string &requestId, std::span<const TraceLog> logs)
{
    std::vector<TracedLine> candidates;
    int64_t first = INT64_MAX;
    int64_t last = INT64_MIN;
    for (const TraceLog &log : logs) {
        std::string line;
        while (std::getline(*log.in, line)) {
            const auto time = parseTimeMs(line);
            const bool namesRequest = time && findField(line, "id") == requestId;
            if (namesRequest) {
                first = std::min(first, *time);
                last = std::max(last, *time);
            }
            if (namesRequest || (time && isStateEvent(line))) {
                candidates.push_back({*time, log.name, line, namesRequest});
            }
        }
    }
    std::erase_if(candidates, [&](const TracedLine &it) {
        return first == INT64_MAX || it.timeMs < first - WindowBeforeMs ||
               it.timeMs > last + WindowAfterMs;
    });
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const TracedLine &a, const TracedLine &b) { return a.timeMs < b.timeMs; });
    return candidates;
}

} // namespace gentianplank
