#include "gentianplank/organisation/quota_client.h"

#include <algorithm>
#include <cmath>

namespace gentianplank {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
// How fast the measure of the arrivals follows them.
constexpr double DemandSeconds = 1.0;
// After a pause, the demand is at most this many arrivals in that time.
constexpr double PauseArrivals = 4.0;
constexpr Duration RenewInterval = std::chrono::milliseconds(300);
constexpr Duration ShortestInterval = std::chrono::milliseconds(20);
constexpr Duration RefillInterval = std::chrono::milliseconds(100);
constexpr Duration RequestTimeout = std::chrono::milliseconds(200);
constexpr int AttemptsBeforeDeputy = 2;
// A top-up crosses regions twice.
constexpr Duration TopUpWait = std::chrono::milliseconds(100);
// A home that answered this lately is up.
constexpr Duration FreshAnswer = std::chrono::milliseconds(400);
// Until a dead home is expelled and its successor's quarantine ends.
constexpr Duration UnsettledWait = std::chrono::milliseconds(8000);
constexpr Duration LongestHint = std::chrono::seconds(1);
constexpr Duration IdleAfter = std::chrono::seconds(10);
constexpr double SmallestRate = 0.5;
// A slice that shrank to less than this part, or grew by as much, is reported at once.
constexpr double NotableChange = 0.75;

double secondsOf(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerSecond;
}

void endSlice(QuotaClient &borrower)
{
    borrower.perSecond = 0;
    borrower.burst = 0;
    borrower.tokens = 0;
}

void fill(QuotaClient &borrower, Instant now)
{
    if (now >= borrower.until) {
        endSlice(borrower);
    }
    if (now <= borrower.filledAt) {
        return;
    }
    // A clock that runs fast must not make more tokens than the rate allows.
    const Duration making = now - std::max(borrower.filledAt, borrower.makesFrom);
    const double made = secondsOf(std::max(Duration::zero(), making)) * borrower.perSecond *
                        (1 - LargestClockDrift);
    borrower.tokens = std::min(borrower.burst, borrower.tokens + made);
    borrower.filledAt = now;
}

double decayedDemand(const QuotaClient &borrower, Instant now)
{
    const double passed = secondsOf(std::max(Duration::zero(), now - borrower.wantedAt));
    return borrower.demandPerSecond * std::exp(-passed / DemandSeconds);
}

// The arrivals a second as the lender should see them: a steady mean that falls fast when a load
// moves away.
double demandOf(const QuotaClient &borrower, Instant now)
{
    const double mean = decayedDemand(borrower, now);
    const double paused = secondsOf(now - borrower.arrivedAt);
    return paused > 0 ? std::min(mean, PauseArrivals / paused) : mean;
}

bool holdsSlice(const QuotaClient &borrower)
{
    return borrower.perSecond > 0 || borrower.burst > 0;
}

bool isDue(const QuotaClient &borrower, Instant now)
{
    const Duration since = now - borrower.askedAt;
    if (borrower.asking) {
        return since >= RequestTimeout;
    }
    if (borrower.askedAt == Instant{}) {
        return borrower.waiting > 0;
    }
    if (since < ShortestInterval) {
        return false;
    }
    if (borrower.reportSoon) {
        return true;
    }
    const double wanted = demandOf(borrower, now);
    const bool isShort = borrower.tokens < 1 && wanted > SmallestRate;
    if (borrower.waiting > 0 && !borrower.exhausted) {
        return true;
    }
    if (borrower.waiting > 0 || isShort) {
        return since >= RefillInterval;
    }
    return holdsSlice(borrower) && since >= RenewInterval;
}

SliceRequest makeRequest(QuotaClient &borrower, Instant now)
{
    ++borrower.sequence;
    borrower.askedAt = now;
    borrower.asking = true;
    borrower.reportSoon = false;
    borrower.askedWithNothing = !holdsSlice(borrower);
    SliceRequest request;
    request.borrower = borrower.self;
    request.sequence = borrower.sequence;
    request.appliedSequence = borrower.appliedSequence;
    request.heldPerSecond = borrower.perSecond;
    request.heldBurst = borrower.burst;
    request.heldTokens = borrower.tokens;
    request.returnedTokens = borrower.returnedTokens;
    request.demandPerSecond = demandOf(borrower, now);
    request.requestedTokens = borrower.waiting;
    return request;
}

} // namespace

QuotaClient makeQuotaClient(const VmIncarnation &self, Instant now)
{
    QuotaClient borrower;
    borrower.self = self;
    // A later value for the same life goes on above the sequences of an earlier one.
    borrower.sequence = static_cast<uint64_t>(now.time_since_epoch().count());
    borrower.filledAt = now;
    borrower.until = now;
    borrower.wantedAt = now;
    borrower.arrivedAt = now;
    return borrower;
}

void noteArrival(QuotaClient &borrower, Instant now)
{
    borrower.demandPerSecond = decayedDemand(borrower, now) + 1 / DemandSeconds;
    borrower.wantedAt = std::max(now, borrower.wantedAt);
    borrower.arrivedAt = borrower.wantedAt;
}

bool tryTakeToken(QuotaClient &borrower, Instant now)
{
    fill(borrower, now);
    if (borrower.tokens < 1) {
        return false;
    }
    borrower.tokens -= 1;
    return true;
}

std::optional<SliceRequest> nextRequest(QuotaClient &borrower, Instant now)
{
    fill(borrower, now);
    if (!isDue(borrower, now)) {
        return std::nullopt;
    }
    if (borrower.asking) {
        onRequestFailed(borrower);
    }
    return makeRequest(borrower, now);
}

SliceRequest releaseRequest(QuotaClient &borrower, Instant now)
{
    fill(borrower, now);
    borrower.returnedTokens += borrower.tokens;
    endSlice(borrower);
    SliceRequest request = makeRequest(borrower, now);
    request.release = true;
    return request;
}

void onReply(QuotaClient &borrower, const SliceReply &reply, Instant now)
{
    if (!borrower.asking || reply.sequence != borrower.sequence) {
        return;
    }
    if (reply.verdict == SliceVerdict::NotOwner) {
        onRequestFailed(borrower);
        return;
    }
    borrower.asking = false;
    borrower.unanswered = 0;
    fill(borrower, now);
    // A slice that has ended must not revive: its lender may count on the end.
    const Instant until = borrower.askedAt + SliceDuration;
    const bool hasEnded = !borrower.askedWithNothing && !holdsSlice(borrower);
    if (hasEnded || now >= until) {
        return;
    }
    borrower.appliedSequence = reply.sequence;
    borrower.reportSoon = reply.perSecond < NotableChange * borrower.perSecond ||
                          reply.burst < NotableChange * borrower.burst ||
                          reply.perSecond * NotableChange > borrower.perSecond;
    borrower.perSecond = reply.perSecond;
    borrower.burst = reply.burst;
    borrower.until = until;
    if (reply.delegated) {
        borrower.makesFrom = now + DelegationDuration + DriftMargin;
    }
    const double tokens = borrower.tokens + reply.tokens;
    borrower.tokens = std::min(tokens, borrower.burst);
    borrower.returnedTokens += tokens - borrower.tokens;
    borrower.exhausted = reply.exhausted;
    borrower.answered = reply.verdict == SliceVerdict::Allocated;
    borrower.answeredAt = now;
}

void onRequestFailed(QuotaClient &borrower)
{
    borrower.asking = false;
    if (borrower.unanswered == 0) {
        borrower.silentSince = borrower.askedAt;
    }
    ++borrower.unanswered;
}

bool shouldRequestFromBackup(const QuotaClient &borrower)
{
    return borrower.unanswered >= AttemptsBeforeDeputy && borrower.unanswered % 2 == 0;
}

bool isSettled(const QuotaClient &borrower, Instant now)
{
    return borrower.answered && now - borrower.answeredAt < FreshAnswer;
}

Duration longestWait(const QuotaClient &borrower, Instant now)
{
    if (!isSettled(borrower, now)) {
        return UnsettledWait;
    }
    return borrower.exhausted ? Duration::zero() : TopUpWait;
}

bool mustGiveUp(const QuotaClient &borrower, Instant arrivedAt, Instant now)
{
    const Duration waited = now - arrivedAt;
    if (!borrower.answered || borrower.answeredAt <= arrivedAt) {
        return waited >= UnsettledWait;
    }
    return borrower.exhausted || waited >= TopUpWait;
}

Instant answerExpectedBy(const QuotaClient &borrower, Instant now)
{
    const bool isSilent = borrower.unanswered > AttemptsBeforeDeputy;
    return isSilent ? borrower.silentSince + UnsettledWait : now;
}

Duration retryHint(const QuotaClient &borrower)
{
    if (borrower.perSecond <= 0) {
        return LongestHint;
    }
    const double seconds = std::max(0.0, 1 - borrower.tokens) / borrower.perSecond;
    return std::min(LongestHint, Duration(static_cast<Duration::rep>(
                                     std::ceil(std::min(seconds, 1.0) * MicrosecondsPerSecond))));
}

bool isIdle(const QuotaClient &borrower, Instant now)
{
    return now >= borrower.until && now - borrower.arrivedAt >= IdleAfter && !borrower.asking;
}

} // namespace gentianplank
