// Client for the platform's promotion call, which makes a member the primary of its group.
#pragma once

#include "gentianplank/http/http_client.h"

#include <functional>
#include <string>

namespace gentianplank::platform {

enum class PromotionReply {
    // The member is the primary, or is about to be.
    Accepted,
    // The platform refuses this member because it isn't running.
    Refused,
    // The call had no effect: the platform is busy or unreachable.
    NotDone,
    // The answer was lost: the member may still become the primary.
    Unknown,
};

// Requests that `memberId` becomes the primary of `group`. `holder` is the VM that holds the
// promotion duty, and `fencingToken` is its token for the duty. Calls `done` once, later, with the
// answer and a description of it. Use on the thread that runs `client`.
void requestPromotion(HttpClient &client, const std::string &group, const std::string &memberId,
                      const std::string &holder, uint64_t fencingToken, Duration timeout,
                      std::function<void(PromotionReply, std::string what)> done);

} // namespace gentianplank::platform
