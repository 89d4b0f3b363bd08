// Measures the share of reads that replicas serve, and counts the reads that miss a write of their
// own session.
#pragma once

#include "gentianplank/bench/bench_case.h"

namespace gentianplank {

// Each session makes nine reads to one write on average. Replicas lag by 50 ms. There is a
// dispatcher in each region.
CaseReport runReplicaReadsCase(const BenchOptions &options);

} // namespace gentianplank
