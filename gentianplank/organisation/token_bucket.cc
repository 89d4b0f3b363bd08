#include "gentianplank/organisation/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace gentianplank {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

void fill(TokenBucket &bucket, Instant now)
{
    if (now <= bucket.filledAt) {
        return;
    }
    const double seconds =
        static_cast<double>((now - bucket.filledAt).count()) / MicrosecondsPerSecond;
    bucket.tokens = std::min(bucket.limit.burst, bucket.tokens + seconds * bucket.limit.perSecond);
    bucket.filledAt = now;
}

} // namespace

TokenBucket makeTokenBucket(const RateLimit &limit, Instant now)
{
    return {limit, limit.burst, now};
}

bool tryTakeToken(TokenBucket &bucket, Instant now)
{
    fill(bucket, now);
    if (bucket.tokens < 1.0) {
        return false;
    }
    bucket.tokens -= 1.0;
    return true;
}

void setLimit(TokenBucket &bucket, const RateLimit &limit, Instant now)
{
    fill(bucket, now);
    bucket.limit = limit;
    bucket.tokens = std::min(bucket.tokens, limit.burst);
}

Duration timeToToken(const TokenBucket &bucket, Instant now)
{
    TokenBucket filled = bucket;
    fill(filled, now);
    if (filled.tokens >= 1.0) {
        return Duration::zero();
    }
    if (filled.limit.perSecond <= 0 || filled.limit.burst < 1.0) {
        return Duration::max();
    }
    const double seconds = (1.0 - filled.tokens) / filled.limit.perSecond;
    return Duration(static_cast<Duration::rep>(std::ceil(seconds * MicrosecondsPerSecond)));
}

} // namespace gentianplank
