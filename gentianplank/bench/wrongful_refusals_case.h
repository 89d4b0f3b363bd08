// Measures the share of statements refused although their organisation is within its rate limit,
// and the statements admitted beyond the limit.
//
//     CaseReport report = runWrongfulRefusalsCase(options);
#pragma once

#include "gentianplank/bench/bench_case.h"

namespace gentianplank {

CaseReport runWrongfulRefusalsCase(const BenchOptions &options);

// The same figures if a VM fails, for each VM in turn.
CaseReport runVmDeathCase(const BenchOptions &options);

} // namespace gentianplank
