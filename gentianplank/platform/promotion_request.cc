#include "gentianplank/platform/promotion_request.h"

#include <nlohmann/json.hpp>

namespace gentianplank::platform {

namespace {

constexpr unsigned FirstNonSuccessStatus = 300;
constexpr unsigned HttpConflict = 409;

} // namespace

void requestPromotion(HttpClient &client, const std::string &group, const std::string &memberId,
                      const std::string &holder, uint64_t fencingToken, Duration timeout,
                      std::function<void(PromotionReply, std::string what)> done)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/promotion";
    request.body = nlohmann::json{{"service", group}, {"id", memberId}}.dump();
    request.headers = {{"X-Gentianplank-Duty-Holder", holder},
                       {"X-Gentianplank-Fence-Token", std::to_string(fencingToken)}};
    client.call(std::move(request), timeout, [done = std::move(done)](const HttpResult &result) {
        if (!result) {
            done(result.error().fault == HttpFault::NotSent ? PromotionReply::NotDone
                                                            : PromotionReply::Unknown,
                 result.error().what);
            return;
        }
        const std::string what =
            "the platform answered HTTP status " + std::to_string(result->status);
        if (result->status < FirstNonSuccessStatus) {
            done(PromotionReply::Accepted, what);
        } else if (result->status == HttpConflict) {
            done(PromotionReply::Refused, what);
        } else {
            done(PromotionReply::NotDone, what);
        }
    });
}

} // namespace gentianplank::platform
