#include "gentianplank/ctl/log_trace.h"
#include "gentianplank/ctl/verbs.h"

#include <cstdint>
#include <fstream>
#include <iomanip>
#include <memory>

namespace gentianplank {

namespace {

constexpr double MsPerSecond = 1000;
constexpr size_t AnyNumber = SIZE_MAX;

int trace(const VerbCall &call)
{
    std::vector<std::unique_ptr<std::ifstream>> files;
    std::vector<TraceLog> logs;
    for (const std::string &file : call.words.subspan(1)) {
        files.push_back(std::make_unique<std::ifstream>(file));
        if (!*files.back()) {
            return reportBadUsage(call, file + " can't be read");
        }
        logs.push_back({file, files.back().get()});
    }
    const auto lines = traceRequest(call.words[0], logs);
    if (lines.empty()) {
        call.err << "no line names the request " << call.words[0] << '\n';
        return ExitNotRun;
    }
    for (const TracedLine &it : lines) {
        const double seconds = static_cast<double>(it.timeMs - lines.front().timeMs) / MsPerSecond;
        call.out << (it.isOwn ? "* " : "  ") << std::fixed << std::setprecision(3) << seconds << ' '
                 << it.log << ": " << it.text << '\n';
    }
    return ExitDone;
}

constexpr Verb Verbs[] = {
    {"trace", "REQUEST-ID LOG...",
     "what the VMs' logs say of one request (*), and what the VMs believed around it", 2, AnyNumber,
     trace},
};

} // namespace

std::span<const Verb> logVerbs()
{
    return Verbs;
}

} // namespace gentianplank
