// An organisation's slice at one VM: admits within it and asks its home for what it needs.
//
//     QuotaClient borrower = makeQuotaClient({"vm-1", 1}, now);
//     noteArrival(borrower, now);
//     if (!tryTakeToken(borrower, now)) { wait for onReply() or refuse }
//     if (auto request = nextRequest(borrower, now)) { send(*request); }
#pragma once

#include "gentianplank/organisation/quota_slice.h"

#include <optional>

namespace gentianplank {

// The most statements of one organisation that wait at a VM; each occupies a thread.
inline constexpr size_t MostWaiters = 200;

// A plain value. All functions are deterministic; `now` is the VM's own clock.
struct QuotaClient
{
    VmIncarnation self;
    double perSecond = 0;
    double burst = 0;
    double tokens = 0;
    Instant filledAt{};
    // From when on this VM makes the slice's tokens itself.
    Instant makesFrom{};
    // When the slice ends.
    Instant until{};

    uint64_t sequence = 0;
    uint64_t appliedSequence = 0;
    Instant askedAt{};
    // A request is on its way; later ones wait for its answer or its timeout.
    bool asking = false;
    // The slice reported by the newest request was empty.
    bool askedWithNothing = true;
    int unanswered = 0;
    // When the first of the unanswered requests was sent.
    Instant silentSince{};
    double returnedTokens = 0;
    // The lender counts more than is held, or does not make the slice's tokens yet, until the next
    // request.
    bool reportSoon = false;

    double demandPerSecond = 0;
    Instant wantedAt{};
    Instant arrivedAt{};
    double waiting = 0;
    // The newest answer of a home, and whether it said that nothing is left.
    Instant answeredAt{};
    bool answered = false;
    bool exhausted = false;
};

QuotaClient makeQuotaClient(const VmIncarnation &self, Instant now);

// Counts one statement that asks to be let in.
void noteArrival(QuotaClient &borrower, Instant now);

// Takes a token of a slice that has not ended.
bool tryTakeToken(QuotaClient &borrower, Instant now);

// Returns the request to send now, if one is due.
std::optional<SliceRequest> nextRequest(QuotaClient &borrower, Instant now);

// Returns the last request of a VM that shuts down; the slice ends.
SliceRequest releaseRequest(QuotaClient &borrower, Instant now);

// Applies the answer to the newest request; others are ignored.
void onReply(QuotaClient &borrower, const SliceReply &reply, Instant now);

// Gives up the newest request, whose answer is lost.
void onRequestFailed(QuotaClient &borrower);

// Whether the next request should go to the deputy, since the home did not answer.
bool shouldRequestFromBackup(const QuotaClient &borrower);

// Whether a home answered lately, so that what this VM knows of the rate is true.
bool isSettled(const QuotaClient &borrower, Instant now);

// How long a statement without a token may wait for an answer; zero when it must be refused now.
Duration longestWait(const QuotaClient &borrower, Instant now);

// Whether a statement that arrived then must be refused: an answer that came since brought nothing
// for it, or no answer came for too long.
bool mustGiveUp(const QuotaClient &borrower, Instant arrivedAt, Instant now);

// When an answer can be expected at the latest: at once while the home answers, otherwise when its
// successor may lend. A statement whose deadline is before that is refused now.
Instant answerExpectedBy(const QuotaClient &borrower, Instant now);

// When a statement refused now should come back, at most a second.
Duration retryHint(const QuotaClient &borrower);

// Whether nothing is held and nothing arrived lately, so that the value may be dropped.
bool isIdle(const QuotaClient &borrower, Instant now);

} // namespace gentianplank
