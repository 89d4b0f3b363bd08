// Versions of the store's rows, ordered also across eras.
//
// When the store comes back from an older copy of itself, what was written since the copy is gone
// and its version numbers are assigned again. Each such return begins a new era. A version is
// therefore a pair, and every version of a later era is higher than those of all earlier ones.
#pragma once

#include <compare>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>

namespace gentianplank {

// A plain value. Number 0 stands for a row that doesn't exist.
struct StoreVersion
{
    StoreVersion() = default;
    // Not an aggregate, so that a lone number can't be taken for an era by mistake.
    StoreVersion(uint64_t versionEra, uint64_t versionNumber)
        : era(versionEra)
        , number(versionNumber)
    {}

    auto operator<=>(const StoreVersion &) const = default;

    uint64_t era = 0;
    uint64_t number = 0;
};

inline bool isAbsent(const StoreVersion &version)
{
    return version.number == 0;
}

// Whether a record that was written in `writtenInEra`, and is stored with `version`, is from an
// earlier era: it was in the copy, or its write was delayed until after the return. False for
// records that don't state their era.
bool isCarriedOver(const std::optional<uint64_t> &writtenInEra, const StoreVersion &version);

// Returns "ERA:NUMBER".
std::string toString(const StoreVersion &version);
std::ostream &operator<<(std::ostream &out, const StoreVersion &version);

// Returns a single number that is higher for a higher version, below 2^53 for the first 8,192 eras
// of up to 2^40 versions each.
uint64_t toOrderedNumber(const StoreVersion &version);

// Returns the next number of a count that goes on across eras: above `previous`, and above every
// number that was assigned in an era before `era`.
uint64_t nextOrderedNumber(uint64_t previous, uint64_t era);

} // namespace gentianplank
