// gentianplank-soak: runs real entry processes under drawn faults and checks what callers and
// members saw.

#include "gentianplank/soak/soak_run.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <exception>
#include <filesystem>
#include <iostream>

ABSL_FLAG(std::string, entry, "", "path of gentianplank-entry");
ABSL_FLAG(std::string, folder, "", "folder for settings and logs; a new temporary one by default");
ABSL_FLAG(uint64_t, seed, 1, "seed of the first run");
ABSL_FLAG(uint32_t, seeds, 1, "number of runs, with consecutive seeds");
ABSL_FLAG(uint32_t, seconds, 20, "length of a run; at most 600");
ABSL_FLAG(uint32_t, vms, 3, "number of entry processes; at most 40");
ABSL_FLAG(uint32_t, callers, 6, "number of callers; at most 200");
ABSL_FLAG(bool, shrink, false, "drop faults from a failing run as long as it still fails");

namespace gentianplank {

namespace {

constexpr uint32_t MaxSeconds = 600;
constexpr uint32_t MaxVms = 40;
constexpr uint32_t MaxCallers = 200;

bool hasFailed(const SoakResult &result)
{
    return !result.violations.empty() || !result.failedVms.empty();
}

void report(uint64_t seed, const std::vector<PlannedFault> &schedule, const SoakResult &result)
{
    std::cout << "seed " << seed << ": " << schedule.size() << " faults, "
              << result.history.operations.size() << " operations, " << result.served << " served, "
              << result.refused << " refused, " << result.violations.size() << " violations\n";
    for (const Violation &it : result.violations) {
        std::cout << "  violated: " << it.promise << ": " << it.what << '\n';
    }
    for (const std::string &it : result.failedVms) {
        std::cout << "  " << it << " ended by itself\n";
    }
    std::cout.flush();
}

// Drops one fault after the other while the run still fails without it.
std::vector<PlannedFault> shrink(const SoakOptions &options, std::vector<PlannedFault> schedule)
{
    for (size_t i = schedule.size(); i-- > 0;) {
        const auto rest = without(schedule, i);
        if (hasFailed(runSoak(options, rest))) {
            schedule = rest;
        }
    }
    return schedule;
}

int run()
{
    SoakOptions options;
    options.program = absl::GetFlag(FLAGS_entry);
    options.folder = absl::GetFlag(FLAGS_folder);
    options.length = std::chrono::seconds(std::min(absl::GetFlag(FLAGS_seconds), MaxSeconds));
    options.vms = std::min(absl::GetFlag(FLAGS_vms), MaxVms);
    options.callers = std::min(absl::GetFlag(FLAGS_callers), MaxCallers);
    if (options.program.empty() || options.vms == 0 || options.callers == 0) {
        std::cerr << "pass --entry=PATH, and at least one VM and one caller\n";
        return EXIT_FAILURE;
    }
    if (options.folder.empty()) {
        std::string name = (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
        options.folder = mkdtemp(name.data()) == nullptr ? "." : name;
    }
    int status = EXIT_SUCCESS;
    const uint64_t first = absl::GetFlag(FLAGS_seed);
    for (uint64_t seed = first; seed < first + absl::GetFlag(FLAGS_seeds); ++seed) {
        const auto schedule = makeSchedule(seed, options.length, options.vms);
        const SoakResult result = runSoak(options, schedule);
        report(seed, schedule, result);
        if (!hasFailed(result)) {
            continue;
        }
        status = EXIT_FAILURE;
        const auto faults = absl::GetFlag(FLAGS_shrink) ? shrink(options, schedule) : schedule;
        for (const PlannedFault &it : faults) {
            std::cout << "  fault: " << toString(it) << '\n';
        }
        std::cout << "  logs: " << options.folder << '\n';
    }
    return status;
}

} // namespace

} // namespace gentianplank

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "Runs entry processes under drawn faults and checks the promises from outside.\n"
        "gentianplank-soak --entry=PATH [--seed N] [--seeds N] [--seconds N] [--vms N] [--shrink]");
    absl::ParseCommandLine(argc, argv);
    try {
        return gentianplank::run();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
