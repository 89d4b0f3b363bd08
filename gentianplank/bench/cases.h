// The list of the policy bench's cases, which are implemented in the *_case.cc files.
#pragma once

#include "gentianplank/bench/bench_case.h"

#include <span>

namespace gentianplank {

// Returns all cases in the order in which they are run and reported.
std::span<const BenchCase> benchCases();

} // namespace gentianplank
