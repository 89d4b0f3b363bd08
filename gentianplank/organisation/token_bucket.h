// A token bucket: at most rate * time + burst tokens in any window.
//
//     TokenBucket bucket = makeTokenBucket({100, 20}, now);
//     if (!tryTakeToken(bucket, now)) { retryAfter = timeToToken(bucket, now); }
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/configuration/view.h"

namespace gentianplank {

// A plain value; the functions below keep 0 <= tokens <= limit.burst.
struct TokenBucket
{
    RateLimit limit;
    double tokens = 0;
    Instant filledAt{};
};

// Returns a full bucket.
TokenBucket makeTokenBucket(const RateLimit &limit, Instant now);

// Takes one token if there is one.
bool tryTakeToken(TokenBucket &bucket, Instant now);

// Changes the limit; tokens above the new burst are lost.
void setLimit(TokenBucket &bucket, const RateLimit &limit, Instant now);

// Returns how long until there is one token; the maximum for a bucket that never fills.
Duration timeToToken(const TokenBucket &bucket, Instant now);

} // namespace gentianplank
