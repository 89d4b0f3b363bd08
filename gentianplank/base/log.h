// Log messages by Boost.Log: short sentences prefixed with the component's name.
//
//     initLogging(Severity::Info);
//     logInfo("failover", "Group ", group, " has primary ", member, " in term ", term, ".");
#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace gentianplank {

enum class Severity {
    Debug,
    Info,
    Warning,
    Error,
};

// Writes messages of at least `minSeverity` to standard error, with time and severity. Call once.
void initLogging(Severity minSeverity);

// Writes one line. Thread-safe.
void logLine(Severity severity, std::string_view component, std::string_view message);

namespace internal {

template <typename... Pieces>
std::string concatenate(const Pieces &...pieces)
{
    std::ostringstream out;
    (out << ... << pieces);
    return out.str();
}

} // namespace internal

template <typename... Pieces>
void logInfo(std::string_view component, const Pieces &...pieces)
{
    logLine(Severity::Info, component, internal::concatenate(pieces...));
}

template <typename... Pieces>
void logWarning(std::string_view component, const Pieces &...pieces)
{
    logLine(Severity::Warning, component, internal::concatenate(pieces...));
}

template <typename... Pieces>
void logError(std::string_view component, const Pieces &...pieces)
{
    logLine(Severity::Error, component, internal::concatenate(pieces...));
}

} // namespace gentianplank
