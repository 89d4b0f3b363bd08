// A VM's share of the bandwidth to another region. Control messages and small statements go first;
// bulk pulls are paced and share the rest fairly between organisations.
//
// The VMs of a region divide the link evenly by their number. Control messages and small statements
// are never delayed; their bytes are deducted from the budget, so that bulk gets the rest.
//
//     LinkBudget budget = makeLinkBudget(30e6 / 8 / vmsOfRegion, now);
//     recordSent(budget, bytes, now); // control messages, small statements
//     Instant at = scheduleBulk(budget, "dredge-co", chunkBytes, now); // send the chunk then
#pragma once

#include "gentianplank/base/time.h"

#include <map>
#include <string>

namespace gentianplank {

// The fraction of the link that bulk never uses, so that small statements are sent without delay.
inline constexpr double SmallStatementShare = 0.2;

// One organisation's pulls over the link.
struct LinkFlow
{
    // When the organisation's next chunk may be sent under its share.
    Instant freeAt{};
    Instant lastChunkAt{};
};

// A plain value. All functions are deterministic.
struct LinkBudget
{
    double bytesPerSecond = 0;
    // When everything accepted so far has been transmitted.
    Instant freeAt{};
    std::map<std::string, LinkFlow, std::less<>> flows;
};

LinkBudget makeLinkBudget(double bytesPerSecond, Instant now);

// Changes the rate in bytes per second, such as when the number of VMs of the region changes.
void setRate(LinkBudget &budget, double bytesPerSecond);

// Deducts bytes that are sent at once.
void recordSent(LinkBudget &budget, double bytes, Instant now);

// Deducts a bulk chunk of an organisation and returns when it should be sent, now or later.
Instant scheduleBulk(LinkBudget &budget, const std::string &organisation, double bytes,
                     Instant now);

} // namespace gentianplank
