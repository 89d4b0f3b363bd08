// The platform's call that makes a member the primary of its group.
#pragma once

#include "gentianplank/http/http_caller.h"

#include <functional>
#include <string>

namespace gentianplank::platform {

enum class PromotionAnswer {
    // The member leads, or will shortly.
    Accepted,
    // Not this member: it does not run.
    Refused,
    // Nothing was done: the platform is busy or unreachable.
    NotDone,
    // The answer was lost: the member may lead shortly.
    Unknown,
};

// Names `memberId` as the primary of `group` for the holder of the duty with its fencing token.
void callPromotion(HttpCaller &caller, const std::string &group, const std::string &memberId,
                   const std::string &holder, uint64_t fencingToken, Duration timeout,
                   std::function<void(PromotionAnswer, std::string what)> done);

} // namespace gentianplank::platform
