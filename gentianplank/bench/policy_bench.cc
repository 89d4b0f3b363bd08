// policy_bench: runs the cases of the policy bench and prints their figures.

#include "gentianplank/bench/bench_case.h"
#include "gentianplank/bench/cases.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <google/protobuf/util/json_util.h>

#include <iomanip>
#include <iostream>

ABSL_FLAG(bool, list, false, "List the cases and exit.");
ABSL_FLAG(std::string, case, "", "The only case to run; empty runs all cases.");
ABSL_FLAG(uint64_t, seed, 1, "The random seed of every case.");
ABSL_FLAG(bool, json, false, "Print JSON; the output is the same for the same seed.");
ABSL_FLAG(std::string, fleet, "association", "The fleet to simulate: association or safra.");

namespace gentianplank {

namespace {

enum ExitCode {
    ExitPassed = 0,
    ExitTargetMissed = 1,
    ExitBadUsage = 2,
};

bool allPassed(const CaseReport &report)
{
    for (const bench::v1::Figure &it : report.figures()) {
        if (!it.passed()) {
            return false;
        }
    }
    return true;
}

void printCase(const CaseReport &report)
{
    std::cout << report.name() << " (" << report.fleet() << ", seed " << report.seed() << ")\n";
    for (const bench::v1::Figure &it : report.figures()) {
        std::cout << "  " << std::left << std::setw(36) << it.name() << std::right << std::setw(12)
                  << it.value() << ' ' << std::left << std::setw(6) << it.unit();
        std::cout << "  naive " << std::setw(10)
                  << (it.has_naive() ? std::to_string(it.naive()) : "-");
        std::cout << "  target " << std::setw(10) << (it.target().empty() ? "-" : it.target())
                  << (it.target().empty() ? ""
                      : it.passed()       ? "  pass"
                                          : "  short")
                  << '\n';
    }
}

int run()
{
    if (absl::GetFlag(FLAGS_list)) {
        for (const BenchCase &it : benchCases()) {
            std::cout << std::left << std::setw(22) << it.name << it.help << '\n';
        }
        return ExitPassed;
    }
    const auto fleet = fleetByName(absl::GetFlag(FLAGS_fleet));
    if (!fleet) {
        std::cerr << "--fleet must be association or safra\n";
        return ExitBadUsage;
    }
    const std::string caseName = absl::GetFlag(FLAGS_case);
    bench::v1::BenchReport report;
    bool passed = true;
    for (const BenchCase &it : benchCases()) {
        if (!caseName.empty() && it.name != caseName) {
            continue;
        }
        CaseReport caseReport = it.run({absl::GetFlag(FLAGS_seed), *fleet});
        caseReport.set_name(std::string(it.name));
        caseReport.set_fleet(fleet->name);
        caseReport.set_seed(absl::GetFlag(FLAGS_seed));
        passed = passed && allPassed(caseReport);
        *report.add_cases() = std::move(caseReport);
    }
    if (report.cases().empty()) {
        std::cerr << "--case names an unknown case; --list prints all cases\n";
        return ExitBadUsage;
    }
    if (absl::GetFlag(FLAGS_json)) {
        std::string json;
        google::protobuf::util::JsonPrintOptions options;
        options.add_whitespace = true;
        google::protobuf::util::MessageToJsonString(report, &json, options);
        std::cout << json;
    } else {
        for (const CaseReport &it : report.cases()) {
            printCase(it);
        }
    }
    return passed ? ExitPassed : ExitTargetMissed;
}

} // namespace

} // namespace gentianplank

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage(
        "Runs the daemon's decision code on a virtual clock and compares its figures with their "
        "targets.\n"
        "Exit codes: 0 all targets are met, 1 a figure misses its target, 2 bad usage.");
    absl::ParseCommandLine(argc, argv);
    return gentianplank::run();
}
