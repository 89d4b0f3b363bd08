// An organisation's quota slice at one VM. Admits statements within the slice and requests quota
// from the primary owner of the organisation's rate.
//
//     QuotaClient client = makeQuotaClient({"vm-1", 1}, now);
//     recordArrival(client, now);
//     if (!tryTakeToken(client, now)) { wait for onReply() or reject }
//     if (auto request = nextRequest(client, now)) { send(*request); }
#pragma once

#include "gentianplank/organisation/quota_slice.h"

#include <optional>

namespace gentianplank {

// Maximum number of one organisation's statements that wait at a VM. Each occupies a thread.
inline constexpr size_t MaxWaitingStatements = 200;

// A plain value. All functions are deterministic; `now` is the VM's own clock.
struct QuotaClient
{
    VmIncarnation self;
    double perSecond = 0;
    double burst = 0;
    double tokens = 0;
    Instant filledAt{};
    // From this time on, this VM generates the slice's tokens itself.
    Instant refillsFrom{};
    // End of the slice.
    Instant until{};

    uint64_t sequence = 0;
    uint64_t appliedSequence = 0;
    Instant requestedAt{};
    // A request is in flight. The next one waits for its reply or its timeout.
    bool requestPending = false;
    // The newest request reported an empty slice.
    bool reportedNoSlice = true;
    int unansweredRequests = 0;
    // When the first of the unanswered requests was sent.
    Instant unansweredSince{};
    double returnedTokens = 0;
    // The allocator accounts for more than is held, or does not generate the slice's tokens yet,
    // until it receives the next request. That request is sent without delay.
    bool mustReport = false;

    double demandPerSecond = 0;
    Instant demandUpdatedAt{};
    Instant lastArrivalAt{};
    double waiting = 0;
    // Time of the newest reply, whether it was an allocation (not a renewal), and whether it said
    // that the organisation's quota is exhausted.
    Instant lastReplyAt{};
    bool allocated = false;
    bool exhausted = false;
};

QuotaClient makeQuotaClient(const VmIncarnation &self, Instant now);

// Counts one arriving statement as demand.
void recordArrival(QuotaClient &client, Instant now);

// Takes one token from a slice that has not ended. Returns false if there is none.
bool tryTakeToken(QuotaClient &client, Instant now);

// Returns the request to send now, if one is due.
std::optional<SliceRequest> nextRequest(QuotaClient &client, Instant now);

// Ends the slice and returns the last request of a VM that shuts down.
SliceRequest releaseRequest(QuotaClient &client, Instant now);

// Applies the reply to the newest request. Replies to older requests are ignored.
void onReply(QuotaClient &client, const SliceReply &reply, Instant now);

// Marks the newest request as failed or lost.
void onRequestFailed(QuotaClient &client);

// Whether the next request should go to the backup owner because the primary owner does not reply.
bool shouldRequestFromBackup(const QuotaClient &client);

// Whether the newest reply was an allocation and is recent enough to rely on.
bool hasRecentAllocation(const QuotaClient &client, Instant now);

// How long a statement without a token may wait for a reply. Zero if it must be rejected now.
Duration maxWaitTime(const QuotaClient &client, Instant now);

// Whether a statement that arrived at `arrivedAt` must be rejected: either a reply since then
// brought no token for it, or no reply came within the time limit.
bool shouldReject(const QuotaClient &client, Instant arrivedAt, Instant now);

// Latest time at which a reply can be expected: `now` while the primary owner replies, otherwise
// when its successor may allocate. A statement with an earlier deadline is rejected at once.
Instant replyExpectedBy(const QuotaClient &client, Instant now);

// Delay after which a rejected statement should be retried; at most one second.
Duration retryHint(const QuotaClient &client);

// Whether the slice has ended and no statement arrived recently, so that the value may be dropped.
bool isIdle(const QuotaClient &client, Instant now);

} // namespace gentianplank
