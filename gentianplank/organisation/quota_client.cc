#include "gentianplank/organisation/quota_client.h"

#include <algorithm>
#include <cmath>

namespace gentianplank {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
// Time constant of the exponential decay of the measured demand.
constexpr double DemandDecaySeconds = 1.0;
// After a pause, demand is at most this many arrivals divided by the length of the pause.
constexpr double MaxArrivalsInPause = 4.0;
constexpr Duration RenewInterval = std::chrono::milliseconds(300);
constexpr Duration MinRequestInterval = std::chrono::milliseconds(20);
constexpr Duration RefillInterval = std::chrono::milliseconds(100);
constexpr Duration RequestTimeout = std::chrono::milliseconds(200);
constexpr int AttemptsBeforeBackup = 2;
// A top-up takes two one-way delays between regions.
constexpr Duration MaxTopUpWait = std::chrono::milliseconds(100);
// After a reply this recent, the primary owner counts as up.
constexpr Duration RecentReply = std::chrono::milliseconds(400);
// Covers the expulsion of a failed primary owner and the quarantine of its successor.
constexpr Duration OwnerFailoverWait = std::chrono::milliseconds(8000);
constexpr Duration MaxRetryHint = std::chrono::seconds(1);
constexpr Duration IdleAfter = std::chrono::seconds(10);
constexpr double MinRefillDemandPerSecond = 0.5;
// A slice is reported without delay if its rate or burst falls below this fraction, or if its rate
// grows by more than the inverse of it.
constexpr double SignificantChange = 0.75;

double secondsOf(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerSecond;
}

void endSlice(QuotaClient &client)
{
    client.perSecond = 0;
    client.burst = 0;
    client.tokens = 0;
}

void fill(QuotaClient &client, Instant now)
{
    if (now >= client.until) {
        endSlice(client);
    }
    if (now <= client.filledAt) {
        return;
    }
    // Discounts the largest drift: a fast clock must not generate more tokens than the rate allows.
    const Duration generating = now - std::max(client.filledAt, client.refillsFrom);
    const double generated =
        secondsOf(std::max(Duration::zero(), generating)) * client.perSecond * (1 - MaxClockDrift);
    client.tokens = std::min(client.burst, client.tokens + generated);
    client.filledAt = now;
}

double decayedDemand(const QuotaClient &client, Instant now)
{
    const double passed = secondsOf(std::max(Duration::zero(), now - client.demandUpdatedAt));
    return client.demandPerSecond * std::exp(-passed / DemandDecaySeconds);
}

// Demand to report to the allocator, in arrivals per second: a smoothed mean that falls quickly
// when the load moves to another VM.
double demandOf(const QuotaClient &client, Instant now)
{
    const double mean = decayedDemand(client, now);
    const double paused = secondsOf(now - client.lastArrivalAt);
    return paused > 0 ? std::min(mean, MaxArrivalsInPause / paused) : mean;
}

bool holdsSlice(const QuotaClient &client)
{
    return client.perSecond > 0 || client.burst > 0;
}

bool isDue(const QuotaClient &client, Instant now)
{
    const Duration since = now - client.requestedAt;
    if (client.requestPending) {
        return since >= RequestTimeout;
    }
    if (client.requestedAt == Instant{}) {
        return client.waiting > 0;
    }
    if (since < MinRequestInterval) {
        return false;
    }
    if (client.mustReport) {
        return true;
    }
    const double demand = demandOf(client, now);
    const bool isShort = client.tokens < 1 && demand > MinRefillDemandPerSecond;
    if (client.waiting > 0 && !client.exhausted) {
        return true;
    }
    if (client.waiting > 0 || isShort) {
        return since >= RefillInterval;
    }
    return holdsSlice(client) && since >= RenewInterval;
}

SliceRequest makeRequest(QuotaClient &client, Instant now)
{
    ++client.sequence;
    client.requestedAt = now;
    client.requestPending = true;
    client.mustReport = false;
    client.reportedNoSlice = !holdsSlice(client);
    SliceRequest request;
    request.client = client.self;
    request.sequence = client.sequence;
    request.appliedSequence = client.appliedSequence;
    request.heldPerSecond = client.perSecond;
    request.heldBurst = client.burst;
    request.heldTokens = client.tokens;
    request.returnedTokens = client.returnedTokens;
    request.demandPerSecond = demandOf(client, now);
    request.requestedTokens = client.waiting;
    return request;
}

} // namespace

QuotaClient makeQuotaClient(const VmIncarnation &self, Instant now)
{
    QuotaClient client;
    client.self = self;
    // Sequences must grow even if the value of the same incarnation is dropped and created again.
    client.sequence = static_cast<uint64_t>(now.time_since_epoch().count());
    client.filledAt = now;
    client.until = now;
    client.demandUpdatedAt = now;
    client.lastArrivalAt = now;
    return client;
}

void recordArrival(QuotaClient &client, Instant now)
{
    client.demandPerSecond = decayedDemand(client, now) + 1 / DemandDecaySeconds;
    client.demandUpdatedAt = std::max(now, client.demandUpdatedAt);
    client.lastArrivalAt = client.demandUpdatedAt;
}

bool tryTakeToken(QuotaClient &client, Instant now)
{
    fill(client, now);
    if (client.tokens < 1) {
        return false;
    }
    client.tokens -= 1;
    return true;
}

std::optional<SliceRequest> nextRequest(QuotaClient &client, Instant now)
{
    fill(client, now);
    if (!isDue(client, now)) {
        return std::nullopt;
    }
    if (client.requestPending) {
        onRequestFailed(client);
    }
    return makeRequest(client, now);
}

SliceRequest releaseRequest(QuotaClient &client, Instant now)
{
    fill(client, now);
    client.returnedTokens += client.tokens;
    endSlice(client);
    SliceRequest request = makeRequest(client, now);
    request.release = true;
    return request;
}

void onReply(QuotaClient &client, const SliceReply &reply, Instant now)
{
    if (!client.requestPending || reply.sequence != client.sequence) {
        return;
    }
    if (reply.verdict == SliceVerdict::NotOwner) {
        onRequestFailed(client);
        return;
    }
    client.requestPending = false;
    client.unansweredRequests = 0;
    fill(client, now);
    // A slice that has ended must not be revived, because its allocator may rely on the end.
    const Instant until = client.requestedAt + SliceDuration;
    const bool hasEnded = !client.reportedNoSlice && !holdsSlice(client);
    if (hasEnded || now >= until) {
        return;
    }
    client.appliedSequence = reply.sequence;
    client.mustReport = reply.perSecond < SignificantChange * client.perSecond ||
                        reply.burst < SignificantChange * client.burst ||
                        reply.perSecond * SignificantChange > client.perSecond;
    client.perSecond = reply.perSecond;
    client.burst = reply.burst;
    client.until = until;
    if (reply.delegated) {
        client.refillsFrom = now + DelegationDuration + DriftMargin;
    }
    const double tokens = client.tokens + reply.tokens;
    client.tokens = std::min(tokens, client.burst);
    client.returnedTokens += tokens - client.tokens;
    client.exhausted = reply.exhausted;
    client.allocated = reply.verdict == SliceVerdict::Allocated;
    client.lastReplyAt = now;
}

void onRequestFailed(QuotaClient &client)
{
    client.requestPending = false;
    if (client.unansweredRequests == 0) {
        client.unansweredSince = client.requestedAt;
    }
    ++client.unansweredRequests;
}

bool shouldRequestFromBackup(const QuotaClient &client)
{
    return client.unansweredRequests >= AttemptsBeforeBackup && client.unansweredRequests % 2 == 0;
}

bool hasRecentAllocation(const QuotaClient &client, Instant now)
{
    return client.allocated && now - client.lastReplyAt < RecentReply;
}

Duration maxWaitTime(const QuotaClient &client, Instant now)
{
    if (!hasRecentAllocation(client, now)) {
        return OwnerFailoverWait;
    }
    return client.exhausted ? Duration::zero() : MaxTopUpWait;
}

bool shouldReject(const QuotaClient &client, Instant arrivedAt, Instant now)
{
    const Duration waited = now - arrivedAt;
    if (!client.allocated || client.lastReplyAt <= arrivedAt) {
        return waited >= OwnerFailoverWait;
    }
    return client.exhausted || waited >= MaxTopUpWait;
}

Instant replyExpectedBy(const QuotaClient &client, Instant now)
{
    const bool isSilent = client.unansweredRequests > AttemptsBeforeBackup;
    return isSilent ? client.unansweredSince + OwnerFailoverWait : now;
}

Duration retryHint(const QuotaClient &client)
{
    if (client.perSecond <= 0) {
        return MaxRetryHint;
    }
    const double seconds = std::max(0.0, 1 - client.tokens) / client.perSecond;
    return std::min(MaxRetryHint, Duration(static_cast<Duration::rep>(
                                      std::ceil(std::min(seconds, 1.0) * MicrosecondsPerSecond))));
}

bool isIdle(const QuotaClient &client, Instant now)
{
    return now >= client.until && now - client.lastArrivalAt >= IdleAfter && !client.requestPending;
}

} // namespace gentianplank
