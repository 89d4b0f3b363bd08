// Measures the share of requests refused while the store is unavailable for a minute, and the load
// of an idle fleet on the store.
#pragma once

#include "gentianplank/bench/bench_case.h"

namespace gentianplank {

CaseReport runStoreOutageCase(const BenchOptions &options);

} // namespace gentianplank
