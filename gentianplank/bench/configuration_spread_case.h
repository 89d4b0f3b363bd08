// Measures the time from an operator's configuration change until every serving VM has applied it,
// with lost and delayed messages.
#pragma once

#include "gentianplank/bench/bench_case.h"

namespace gentianplank {

CaseReport runConfigurationSpreadCase(const BenchOptions &options);

} // namespace gentianplank
