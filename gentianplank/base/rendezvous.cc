#include "gentianplank/base/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace gentianplank {

namespace {

uint64_t seedOf(std::string_view key)
{
    return XXH3_64bits(key.data(), key.size());
}

uint64_t scoreOf(uint64_t seed, std::string_view candidate)
{
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

} // namespace

std::vector<std::string> rankByRendezvous(std::string_view key,
                                          std::span<const std::string> candidates, size_t maxCount)
{
    const uint64_t seed = seedOf(key);
    std::vector<std::pair<uint64_t, const std::string *>> scored;
    scored.reserve(candidates.size());
    for (const std::string &it : candidates) {
        scored.emplace_back(scoreOf(seed, it), &it);
    }
    const size_t n = std::min(maxCount, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(n), scored.end(),
                      [](const auto &a, const auto &b) {
                          return a.first != b.first ? a.first > b.first : *a.second < *b.second;
                      });
    std::vector<std::string> ranked;
    ranked.reserve(n);
    for (size_t i = 0; i < n; ++i) {
        ranked.push_back(*scored[i].second);
    }
    return ranked;
}

std::string pickByRendezvous(std::string_view key, std::span<const std::string> candidates)
{
    const uint64_t seed = seedOf(key);
    std::string_view best;
    uint64_t bestScore = 0;
    for (const std::string &it : candidates) {
        const uint64_t score = scoreOf(seed, it);
        if (best.empty() || score > bestScore || (score == bestScore && it < best)) {
            best = it;
            bestScore = score;
        }
    }
    return std::string(best);
}

} // namespace gentianplank
