// Measures the time without acknowledged writes if a second failure occurs during a failover.
#pragma once

#include "gentianplank/bench/bench_case.h"

namespace gentianplank {

CaseReport runTwoFailuresCase(const BenchOptions &options);

} // namespace gentianplank
