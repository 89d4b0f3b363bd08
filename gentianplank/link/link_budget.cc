#include "gentianplank/link/link_budget.h"

#include <algorithm>

namespace gentianplank {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
// An organisation that sent no chunk for this long is not pulling and gets no share.
constexpr Duration FlowIdleTimeout = std::chrono::milliseconds(500);
// Small statements are never delayed, and bulk waits at most this long for the bytes they have
// sent.
constexpr Duration MaxBacklog = std::chrono::seconds(1);

Duration transmissionTime(double bytes, double bytesPerSecond)
{
    if (bytesPerSecond <= 0) {
        return MaxBacklog;
    }
    return Duration(static_cast<Duration::rep>(bytes / bytesPerSecond * MicrosecondsPerSecond));
}

} // namespace

LinkBudget makeLinkBudget(double bytesPerSecond, Instant now)
{
    LinkBudget budget;
    budget.bytesPerSecond = bytesPerSecond;
    budget.freeAt = now;
    return budget;
}

void setRate(LinkBudget &budget, double bytesPerSecond)
{
    budget.bytesPerSecond = bytesPerSecond;
}

void recordSent(LinkBudget &budget, double bytes, Instant now)
{
    const Instant sent =
        std::max(budget.freeAt, now) + transmissionTime(bytes, budget.bytesPerSecond);
    budget.freeAt = std::min(sent, std::max(budget.freeAt, now + MaxBacklog));
}

Instant scheduleBulk(LinkBudget &budget, const std::string &organisation, double bytes, Instant now)
{
    std::erase_if(budget.flows, [&](const auto &it) {
        return it.first != organisation && now - it.second.lastChunkAt >= FlowIdleTimeout &&
               it.second.freeAt <= now;
    });
    LinkFlow &flow = budget.flows[organisation];
    const double bulkRate = budget.bytesPerSecond * (1 - SmallStatementShare);
    const double share = bulkRate / static_cast<double>(budget.flows.size());
    const Instant at = std::max({now, flow.freeAt, budget.freeAt});
    flow.freeAt = std::max(now, flow.freeAt) + transmissionTime(bytes, share);
    flow.lastChunkAt = at;
    budget.freeAt = std::max(now, budget.freeAt) + transmissionTime(bytes, bulkRate);
    return at;
}

} // namespace gentianplank
