// Structured logs on standard output, by Boost.Log: one line for each event, with fields.
//
//     startEventLog();
//     logEvent("refused", {{"id", requestId}, {"organisation", name}, {"wait_ms", 12}});
//
// A thread that logs never waits: lines go through a bounded queue, and a line that finds it full,
// or exceeds its event's lines a second, is counted and dropped. The count is itself logged.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace gentianplank {

struct EventField
{
    EventField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(text)
    {}
    EventField(std::string_view fieldName, const char *text)
        : name(fieldName)
        , value(text)
    {}
    EventField(std::string_view fieldName, const std::string &text)
        : name(fieldName)
        , value(text)
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

// Lines of one event that are written in a second; more are counted and dropped. Enough for a
// VM's usual statements; a flood costs no more than this.
inline constexpr uint32_t EventLinesPerSecond = 200;

// Starts the writer thread. Call once, before the first event. Without it, events are dropped.
void startEventLog();

// Writes what is queued and ends the writer thread.
void stopEventLog();

// Logs one event. Thread-safe; never blocks on the output.
void logEvent(std::string_view event, std::initializer_list<EventField> fields);

// Lines that were dropped since the start.
uint64_t droppedEventLines();

// How often each event occurred since the start, also where its line was dropped.
std::map<std::string, uint64_t> eventCounts();

// Returns a line of "name=value" pairs; values with blanks or quotes are quoted.
std::string formatEvent(std::string_view event, std::initializer_list<EventField> fields);

} // namespace gentianplank
