// Measures how long a withdrawn key is still accepted by VMs that are cut off from the store, from
// the other VMs, or from both.
#pragma once

#include "gentianplank/bench/bench_case.h"

namespace gentianplank {

CaseReport runKeyWithdrawalCase(const BenchOptions &options);

} // namespace gentianplank
