// Measures how an organisation that exceeds its rate at a target affects the other organisations.
//
//     CaseReport report = runNoisyNeighbourCase(options);
#pragma once

#include "gentianplank/bench/bench_case.h"

namespace gentianplank {

// One organisation sends ten times its rate, with small statements only.
CaseReport runNoisyNeighbourCase(const BenchOptions &options);

// The same with bulk pulls among the statements of that organisation.
CaseReport runWorstServedCase(const BenchOptions &options);

} // namespace gentianplank
