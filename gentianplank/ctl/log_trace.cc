#include "gentianplank/ctl/log_trace.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>

namespace gentianplank {

namespace {

// What is believed changes before a request suffers from it: a lease lasts up to 5 s.
constexpr int64_t BeforeMs = 5000;
constexpr int64_t AfterMs = 1000;

constexpr std::array<std::string_view, 11> BeliefEvents{
    "primary.", "group.", "member.", "store.", "configuration.", "peer.", "relay.",
    "duty.",    "vm.",    "start",   "stop"};

std::string_view fieldOf(std::string_view line, std::string_view name)
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

std::optional<int64_t> timeOf(std::string_view line)
{
    const std::string_view text = fieldOf(line, "time_ms");
    int64_t ms = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (text.empty() || result.ec != std::errc()) {
        return std::nullopt;
    }
    return ms;
}

bool tellsBelief(std::string_view line)
{
    const std::string_view event = fieldOf(line, "event");
    return std::any_of(BeliefEvents.begin(), BeliefEvents.end(),
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
            const auto time = timeOf(line);
            const bool isOwn = time && fieldOf(line, "id") == requestId;
            if (isOwn) {
                first = std::min(first, *time);
                last = std::max(last, *time);
            }
            if (isOwn || (time && tellsBelief(line))) {
                candidates.push_back({*time, log.name, line, isOwn});
            }
        }
    }
    std::erase_if(candidates, [&](const TracedLine &it) {
        return first == INT64_MAX || it.timeMs < first - BeforeMs || it.timeMs > last + AfterMs;
    });
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const TracedLine &a, const TracedLine &b) { return a.timeMs < b.timeMs; });
    return candidates;
}

} // namespace gentianplank
