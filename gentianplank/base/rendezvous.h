// Rendezvous hashing: every VM selects the same holder of a role from the same member list, and
// adding or removing a member moves only that member's roles.
//
//     std::vector<std::string> ranked = rankByRendezvous("rate/dredge-co", vmNames);
//     const bool isOwner = !ranked.empty() && ranked.front() == self;
#pragma once

#include <cstddef>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

inline constexpr size_t AllCandidates = std::numeric_limits<size_t>::max();

// Returns at most `maxCount` candidates for the role `key`, best first. The result does not depend
// on the order of `candidates`; ties are broken by name. O(n log maxCount). Thread-safe.
std::vector<std::string> rankByRendezvous(std::string_view key,
                                          std::span<const std::string> candidates,
                                          size_t maxCount = AllCandidates);

// Returns the best candidate, or an empty string if there are none. O(n). Thread-safe.
std::string pickByRendezvous(std::string_view key, std::span<const std::string> candidates);

} // namespace gentianplank
