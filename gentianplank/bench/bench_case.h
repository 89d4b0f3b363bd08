// A case of the policy bench: a deterministic, seeded run of the daemon's decision code on a
// virtual clock. It returns named figures, each compared with its target.
//
//     CaseReport run(const BenchOptions &options)
//     {
//         CaseReport report;
//         addFigure(report, {"gap_p99", "ms", percentile(gaps, 99), naiveP99, atMost(2000)});
//         return report;
//     }
#pragma once

#include "gentianplank/bench/fleet_shape.h"
#include "gentianplank/proto/bench.pb.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

using CaseReport = bench::v1::CaseReport;

struct BenchOptions
{
    uint64_t seed = 1;
    FleetShape fleet;
};

// The documented bound that a figure must meet.
struct FigureTarget
{
    enum Kind {
        None,
        AtMost,
        AtLeast,
    };
    Kind kind = None;
    double bound = 0;
};

FigureTarget atMost(double bound);
FigureTarget atLeast(double bound);

struct FigureInput
{
    std::string name;
    std::string unit;
    double value = 0;
    // The same figure under the naive policy that the case compares with.
    std::optional<double> naive;
    FigureTarget target;
};

// Adds a figure to the report and marks whether it meets its target. A figure without a target
// passes.
void addFigure(CaseReport &report, const FigureInput &input);

// Returns the nearest-rank percentile of the samples, or 0 if there are none. `percent` is in
// (0, 100].
double percentile(std::span<const double> samples, double percent);

struct BenchCase
{
    std::string_view name;
    std::string_view help;
    CaseReport (*run)(const BenchOptions &options);
};

} // namespace gentianplank
