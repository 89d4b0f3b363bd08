// When operations that were refused for their organisation's rate should be tried again.
//
//     const Duration delay = retryDelay({limit.perSecond, demand, timeToToken}, priority,
//     requestId);
#pragma once

#include "gentianplank/base/time.h"

#include <cstdint>
#include <string_view>

namespace gentianplank {

// What is known of an organisation's rate when one of its operations is refused.
struct RatePressure
{
    // The organisation's limit, in tokens per second.
    double perSecond = 0;
    // Tokens that all VMs need a second, as far as known.
    double demand = 0;
    // Until the next token is expected.
    Duration nextToken{0};
};

inline constexpr Duration MinRetryDelay = std::chrono::milliseconds(100);
inline constexpr Duration MaxRetryDelay = std::chrono::seconds(2);

// Returns the time after which to try again, MinRetryDelay to MaxRetryDelay. Requests are spread
// over the time in which the limit generates the tokens for what one second of the demand exceeds
// it by; routes of priority 0 over the first half of it, others later. The same request id always
// gets the same place. Pure, thread-safe.
Duration retryDelay(const RatePressure &pressure, uint32_t priority, std::string_view requestId);

} // namespace gentianplank
