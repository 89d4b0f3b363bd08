// A token bucket: admits at most rate * time + burst tokens in any window.
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

// Takes one token. Returns false if there is none.
bool tryTakeToken(TokenBucket &bucket, Instant now);

// Changes the limit. Tokens above the new burst are dropped.
void setLimit(TokenBucket &bucket, const RateLimit &limit, Instant now);

// Returns the time until one token is available; the maximum if the bucket never fills.
Duration timeToToken(const TokenBucket &bucket, Instant now);

} // namespace gentianplank
