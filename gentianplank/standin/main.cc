// gentianplank-standin: serves an in-memory platform and database groups for tests and trials.

#include "gentianplank/base/log.h"
#include "gentianplank/standin/member_service.h"
#include "gentianplank/standin/platform_service.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>

#include <csignal>
#include <iostream>
#include <map>

ABSL_FLAG(std::string, platform, "127.0.0.1:7100", "Listen address of the platform, as IP:port.");
ABSL_FLAG(std::string, members, "",
          "Comma-separated list of members, each as group/member=IP:port. The first member of a "
          "group starts as its primary.");
ABSL_FLAG(uint32_t, slots, 2, "Maximum number of statements that a member runs concurrently.");
ABSL_FLAG(uint32_t, connections, 16, "Maximum number of connections per member.");
ABSL_FLAG(uint32_t, connect_ms, 12, "Time to establish a connection, in milliseconds.");
ABSL_FLAG(uint32_t, statement_us, 1000, "Execution time of a statement, in microseconds.");
ABSL_FLAG(uint32_t, lag_ms, 0, "Replication lag of replicas, in milliseconds.");
ABSL_FLAG(uint32_t, chunk_ms, 0, "Delay before each chunk of a streamed answer, in milliseconds.");

namespace gentianplank {

namespace {

using MembersByGroup = std::map<std::string, std::vector<MemberAddress>>;

// Adds the members of a list of group/member=IP:port entries. Returns false if the list is empty or
// an entry is malformed.
bool parseMembers(const std::string &text, MembersByGroup &members)
{
    for (const absl::string_view it : absl::StrSplit(text, ',', absl::SkipEmpty())) {
        const std::vector<std::string> parts = absl::StrSplit(it, absl::ByAnyChar("/="));
        if (parts.size() != 3) {
            return false;
        }
        members[parts[0]].push_back({parts[1], parts[2]});
    }
    return !members.empty();
}

GroupOptions makeGroupOptions(const std::string &group)
{
    GroupOptions options;
    options.group = group;
    options.slots = absl::GetFlag(FLAGS_slots);
    options.connections = absl::GetFlag(FLAGS_connections);
    options.connectTime = std::chrono::milliseconds(absl::GetFlag(FLAGS_connect_ms));
    options.statementTime = std::chrono::microseconds(absl::GetFlag(FLAGS_statement_us));
    options.lag = std::chrono::milliseconds(absl::GetFlag(FLAGS_lag_ms));
    options.chunkTime = std::chrono::milliseconds(absl::GetFlag(FLAGS_chunk_ms));
    return options;
}

int run()
{
    MembersByGroup members;
    if (!parseMembers(absl::GetFlag(FLAGS_members), members)) {
        std::cerr << "--members requires a comma-separated list of group/member=IP:port\n";
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    std::vector<std::unique_ptr<GroupServers>> groups;
    std::vector<GroupServers *> groupPointers;
    for (const auto &[group, addresses] : members) {
        groups.push_back(std::make_unique<GroupServers>(makeGroupOptions(group), addresses));
        groupPointers.push_back(groups.back().get());
    }
    const PlatformServer platform(absl::GetFlag(FLAGS_platform), groupPointers);
    if (!platform.isListening()) {
        std::cerr << "can't listen on " << absl::GetFlag(FLAGS_platform) << '\n';
        return 1;
    }
    logInfo("standin", "Serving the platform and ", groups.size(), " database groups.");
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}

} // namespace

} // namespace gentianplank

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "Serves an in-memory platform and database groups for tests and trials.");
    absl::ParseCommandLine(argc, argv);
    gentianplank::initLogging(gentianplank::Severity::Info);
    return gentianplank::run();
}
