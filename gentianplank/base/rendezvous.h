// Rendezvous hashing: every VM picks the same holder of a role from the same member list, and a
// change of one member moves only that member's roles.
//
//     std::vector<std::string> ranked = rankByRendezvous("home/dredge-co", vmNames);
//     const bool home = !ranked.empty() && ranked.front() == self;
#pragma once

#include <cstddef>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

inline constexpr size_t AllCandidates = std::numeric_limits<size_t>::max();

// Returns the candidates, best first, for the role that `key` names; at most `most` of them.
// Independent of the order of `candidates`; ties break by name. O(n log most). Thread-safe.
std::vector<std::string> rankByRendezvous(std::string_view key,
                                          std::span<const std::string> candidates,
                                          size_t most = AllCandidates);

// Returns the best candidate, or an empty string without candidates. O(n).
std::string pickByRendezvous(std::string_view key, std::span<const std::string> candidates);

} // namespace gentianplank
