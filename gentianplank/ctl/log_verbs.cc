#include "gentianplank/ctl/log_trace.h"
#include "gentianplank/ctl/verbs.h"

#include <cstdint>
#include <fstream>
#include <iomanip>
#include <memory>

namespace gentianplank {

namespace {

constexpr double MsPerSecond = 1000;
constexpr size_t UnlimitedArguments = SIZE_MAX;

int trace(const VerbCall &call)
{
    std::vector<std::unique_ptr<std::ifstream>> files;
    std::vector<TraceLog> logs;
    for (const std::string &file : call.arguments.subspan(1)) {
        files.push_back(std::make_unique<std::ifstream>(file));
        if (!*files.back()) {
            return reportUsageError(call, file + " cannot be read");
        }
        logs.push_back({file, files.back().get()});
    }
    const auto lines = traceRequest(call.arguments[0], logs);
    if (lines.empty()) {
        call.err << "no log line has the request id " << call.arguments[0] << '\n';
        return ExitNotRun;
    }
    for (const TracedLine &it : lines) {
        const double seconds = static_cast<double>(it.timeMs - lines.front().timeMs) / MsPerSecond;
        call.out << (it.namesRequest ? "* " : "  ") << std::fixed << std::setprecision(3) << seconds
                 << ' ' << it.log << ": " << it.text << '\n';
    }
    return ExitSuccess;
}

constexpr Verb Verbs[] = {
    {"trace", "REQUEST-ID LOG...",
     "shows the log lines of one request (*) with the state events around them, by time", 2,
     UnlimitedArguments, trace},
};

} // namespace

std::span<const Verb> logVerbs()
{
    return Verbs;
}

} // namespace gentianplank
