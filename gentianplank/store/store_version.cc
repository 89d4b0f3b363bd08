#include "gentianplank/store/store_version.h"

#include <algorithm>
#include <ostream>

namespace gentianplank {

namespace {

constexpr unsigned NumberBits = 40;

} // namespace

bool isCarriedOver(const std::optional<uint64_t> &writtenInEra, const StoreVersion &version)
{
    return writtenInEra && *writtenInEra < version.era;
}

std::string toString(const StoreVersion &version)
{
    return std::to_string(version.era) + ":" + std::to_string(version.number);
}

std::ostream &operator<<(std::ostream &out, const StoreVersion &version)
{
    return out << toString(version);
}

uint64_t toOrderedNumber(const StoreVersion &version)
{
    return (version.era << NumberBits) + version.number;
}

uint64_t nextOrderedNumber(uint64_t previous, uint64_t era)
{
    return std::max(previous, era << NumberBits) + 1;
}

} // namespace gentianplank
