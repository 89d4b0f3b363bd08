// Structured logs on standard output, by Boost.Log: one line with fields for each event.
//
//     startEventLog();
//     logEvent("refused", {{"id", requestId}, {"organisation", name}, {"wait_ms", 12}});
//
// Logging never blocks: lines go through a bounded queue, and lines that exceed it or the rate
// limit of their event are dropped and counted. The count is logged too.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace gentianplank {

// Longer values of fields are cut: callers choose some of them, up to 1 MiB long.
inline constexpr size_t MaxFieldBytes = 512;

struct EventField
{
    EventField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text.substr(0, MaxFieldBytes))
    {}
    EventField(std::string_view fieldName, const char *text)
        : EventField(fieldName, std::string_view(text))
    {}
    EventField(std::string_view fieldName, const std::string &text)
        : EventField(fieldName, std::string_view(text))
    {}
    EventField(std::string_view fieldName, bool flag)
        : name(fieldName)
        , value(flag ? "true" : "false")
    {}
    template <std::integral Number>
    EventField(std::string_view fieldName, Number number)
        : name(fieldName)
        , value(std::to_string(number))
    {}

    std::string_view name;
    std::string value;
};

// The rate limit of each event; lines above it are dropped and counted. Enough for the usual
// statements of a VM, and bounds the cost of a flood.
inline constexpr uint32_t MaxEventLinesPerSecond = 200;

// Starts the writer thread. Call once, before the first event; earlier events are dropped.
void startEventLog();

// Writes the queued lines and ends the writer thread.
void stopEventLog();

// Logs one event. Never blocks on the output. Thread-safe.
void logEvent(std::string_view event, std::initializer_list<EventField> fields);

// The number of lines dropped since the start. Thread-safe.
uint64_t droppedEventLines();

// The bytes of the lines that are queued and not written yet. Thread-safe.
size_t queuedLogBytes();

// The number of occurrences of each event since the start, including dropped ones. Thread-safe.
std::map<std::string, uint64_t> eventCounts();

// Returns a line of "name=value" pairs. Values that are empty or contain blanks, quotes, "=" or
// backslashes are quoted.
std::string formatEvent(std::string_view event, std::initializer_list<EventField> fields);

} // namespace gentianplank
