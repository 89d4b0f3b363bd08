// Measures the time without acknowledged writes after a primary failure, over failures of several
// kinds.
#pragma once

#include "gentianplank/bench/bench_case.h"

namespace gentianplank {

CaseReport runFailoverCase(const BenchOptions &options);

} // namespace gentianplank
