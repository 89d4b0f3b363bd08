// Private state of MemberDispatcher, shared by its sources: member_dispatcher.cc (the queue and the
// public functions), member_dispatcher_health.cc and member_dispatcher_links.cc (connections, and
// the execution of a statement on one) and member_dispatcher_placement.cc (whether anything may be
// sent to the member).
#pragma once

#include "gentianplank/node/traffic/member_dispatcher.h"

#include "gentianplank/node/traffic/member_link.h"
#include "gentianplank/organisation/fair_queue.h"

#include <deque>
#include <list>
#include <map>
#include <vector>

namespace gentianplank {

// Retry delay for rejections whose cause passes quickly.
inline constexpr Duration MinRetryAfter = std::chrono::milliseconds(20);
// Time that must be left until its deadline for a statement to be started or sent.
inline constexpr Duration MinRemainingTime = std::chrono::milliseconds(5);
// Statements in flight per slot of a member in another region. With a round trip of 40 ms and
// statements of 10 to 25 ms, a statement occupies its slot for a third of the time. Early arrivals
// queue at the member.
inline constexpr uint32_t OtherRegionStatementsPerSlot = 3;
// Several times the statements of usual cost that fit into the longest statement timeout.
inline constexpr size_t MaxQueuedStatements = 400;
// Delay before another connection is requested from a member that is at its connection limit. A
// request takes a slot of the member for about a tenth of this.
inline constexpr Duration ConnectionLimitBackoff = std::chrono::milliseconds(150);

// A statement that the dispatcher has accepted and not yet answered.
struct Job
{
    ForwardedStatement statement;
    OutcomeHandler done;
    uint64_t number = 0;
    Instant arrivedAt{};
    Instant deadline{};
    // Counted as running by the fair queue.
    bool isCountedByQueue = false;
    // Counted as running outside the fair queue.
    bool isCountedOutsideQueue = false;
    std::shared_ptr<MemberLink> link;
    // The statement itself was sent to the member, not only setup steps.
    bool isSent = false;
    Instant sentAt{};
    BootInstant sentAtBoot{};
    // When the last request for this statement, a setup step or the statement itself, was sent on
    // an open connection.
    Instant lastRequestAt{};
    bool wasReprepared = false;
    // Counted as lost while it was still without an answer.
    bool isCountedAsLost = false;
    // A token of the cold member's allowance is reserved for it.
    bool hasReservation = false;
};

using JobPointer = std::shared_ptr<Job>;

// A connection without a session, kept open for the next statements of its organisation.
struct IdleLink
{
    std::shared_ptr<MemberLink> link;
    Instant since{};
};

// The connection of an open transaction.
struct PinnedTransaction
{
    std::shared_ptr<MemberLink> link;
    uint64_t epoch = 0;
    Instant idleSince{};
    bool isRunning = false;
};

// Owned by the dispatcher.
struct MemberDispatcher::State
{
    State(boost::asio::io_context &context, DispatcherEnvironment callbacks, MemberEntry member,
          DispatcherLimits dispatcherLimits)
        : ioContext(context)
        , environment(std::move(callbacks))
        , entry(std::move(member))
        , limits(dispatcherLimits)
        , queue(makeFairQueue(MaxQueuedStatements))
    {
        queue.slots = entry.slots;
    }

    // The queue.
    void enqueueJob(const JobPointer &job);
    void startQueued();
    void assignConnection(const JobPointer &job);
    void continueTransaction(const JobPointer &job);
    SendPermission permissionFor(bool isOpenTransaction) const;
    static StatementOutcome refusalOf(SendPermission permission, bool isOpenTransaction);
    std::optional<StatementOutcome> refusalByConfiguration(const Job &job) const;
    void enforceConfiguration();
    std::optional<StatementOutcome> refusalBeforeSending(const Job &job);
    void sendIfPermitted(const JobPointer &job);
    bool mayRollBack(const MemberLink &link) const;
    void enforceEvacuation();
    void updateColdPhase();
    bool isWithoutAllowance() const;
    bool mayStartAnother();
    void reserveAllowance(const JobPointer &job);
    void releaseAllowance(const JobPointer &job);
    void chargeAllowance(double requests);
    std::optional<StatementOutcome> coldRefusal(const Job &job);
    void enforceColdPhase();
    Duration expectedWaitOf(const Job &job) const;
    void markSetupStep(const JobPointer &job);
    void releaseSlot(const JobPointer &job);
    void resumeStalled();
    void expireWaiting(Instant now);
    size_t running() const { return queue.running.size() + runningOutsideQueue; }
    size_t maxRunning() const
    {
        return size_t{entry.slots} * (limits.isInOtherRegion ? OtherRegionStatementsPerSlot : 1);
    }

    // Connections.
    std::shared_ptr<MemberLink> acquireIdle(const Job &job);
    bool evictIdle();
    void openLink(const JobPointer &job);
    void handleOpened(const JobPointer &job, const MemberReply &reply);
    void handleOpenFailure(const JobPointer &job, const MemberReply &reply);
    void keepIdle(const std::shared_ptr<MemberLink> &link);
    size_t maxIdle() const;
    // `link` must not refer to an element of `idle`, which changes.
    void discard(const std::shared_ptr<MemberLink> &link);
    void rollBack(const std::shared_ptr<MemberLink> &link);
    uint32_t connectionCap(Instant now) const;

    // Execution of a statement on its connection.
    void prepareLink(const JobPointer &job);
    void runSetupSteps(const JobPointer &job, std::deque<std::string> steps);
    void sendStatement(const JobPointer &job);
    void handleAnswer(const JobPointer &job, MemberReply reply);
    void handleConnectionFailure(const JobPointer &job, const MemberReply &reply);
    void updateTransaction(const JobPointer &job, const MemberReply &reply);
    void finish(const JobPointer &job, StatementOutcome outcome);
    void reportOutcome(const JobPointer &job, StatementOutcome outcome) const;

    void markUnreachable(const std::string &reason);
    void rejectQueued(const std::string &reason);
    void checkLiveness(Instant now);

    // The member's health, in member_dispatcher_health.cc.
    void recordHealth(const Job &job, const StatementOutcome &outcome);
    void recordSign(const Job &job, OutcomeSign sign, Duration timeAtMember, Instant now);
    void observeHangs(Instant now);
    void rejectReplicaReads();

    std::weak_ptr<MemberDispatcher> self;
    boost::asio::io_context &ioContext;
    DispatcherEnvironment environment;
    MemberEntry entry;
    DispatcherLimits limits;

    FairQueue queue;
    uint64_t nextNumber = 1;
    std::map<uint64_t, JobPointer> waiting;
    // Statements of open transactions that wait for a slot.
    std::deque<JobPointer> continuing;
    // Statements whose turn has come while no connection is free.
    std::deque<JobPointer> stalled;
    std::list<JobPointer> active;
    size_t runningOutsideQueue = 0;
    bool isStartingQueued = false;

    std::vector<std::shared_ptr<MemberLink>> links;
    std::deque<IdleLink> idle;
    std::map<SessionId, PinnedTransaction> pinned;
    // Connection cap since the member last reported that its connection limit is reached.
    uint32_t reducedCap = 0;
    Instant reducedCapUntil{};
    Instant unreachableUntil{};
    std::string unreachableReason;
    // Logged as unreachable and not reached since.
    bool isLoggedUnreachable = false;
    Instant lastReplyAt{};
    bool isCheckingLiveness = false;
    bool isPreferredDispatcher = true;
    // The member is gone: nothing is sent to it any more.
    bool isRetired = false;
    Instant positionsNeededAt{};
    // The configuration that waiting statements were last checked against; 0 without a proven one.
    uint64_t checkedRevision = 0;
    // Outcomes of the reads of all VMs, and of the statements that needed the primary of the epoch.
    OutcomeTally reads;
    OutcomeTally primaryStatements;
    uint64_t primaryEpoch = 0;
    Instant primaryReportedAt{};
    // When a statement was last handled well, and whether what came before a hang was forgotten.
    Instant lastWellAt{};
    bool hasForgottenPast = false;
    ColdPhase cold;
    ColdAllowance allowance;
};

} // namespace gentianplank
