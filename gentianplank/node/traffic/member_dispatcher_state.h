// What a member's dispatcher knows and does, shared by the files that make it up:
// member_dispatcher.cc (the queue, and what others ask) and member_dispatcher_links.cc
// (connections, and the steps of a statement on one).
#pragma once

#include "gentianplank/node/traffic/member_dispatcher.h"

#include "gentianplank/node/traffic/member_link.h"
#include "gentianplank/organisation/fair_queue.h"

#include <deque>
#include <list>
#include <map>
#include <vector>

namespace gentianplank {

// When it is worth trying again after a refusal that will soon be over.
inline constexpr Duration MinRetryAfter = std::chrono::milliseconds(20);
// A statement must have this much left to be worth starting.
inline constexpr Duration MinRemainingTime = std::chrono::milliseconds(5);
// To a far member this many statements are under way for each of its slots: of a way of 40 ms and
// statements of 10 to 25 ms, a third is spent in the slot. What comes early waits at the member.
inline constexpr uint32_t OtherRegionStatementsPerSlot = 3;
// Several times what fits into the longest statement limit at the usual cost of a statement.
inline constexpr size_t MaxQueuedStatements = 400;
// How long a member that has too many connections is not asked for another. Asking takes a slot of
// the member for about a tenth of this.
inline constexpr Duration ConnectionLimitBackoff = std::chrono::milliseconds(150);

// A statement in the dispatcher's hands.
struct Job
{
    ForwardedStatement statement;
    OutcomeHandler done;
    uint64_t number = 0;
    Instant arrivedAt{};
    Instant deadline{};
    // The fair queue counts it as running.
    bool isCountedByQueue = false;
    // It counts as running without the queue.
    bool isCountedOutsideQueue = false;
    std::shared_ptr<MemberLink> link;
    // The statement itself is on its way to the member.
    bool isSent = false;
    Instant sentAt{};
    BootInstant sentAtBoot{};
    // When the member was last asked something for it on an open connection: a step of the
    // dispatcher's own or the statement.
    Instant lastRequestAt{};
    bool wasReprepared = false;
};

using JobPointer = std::shared_ptr<Job>;

struct IdleLink
{
    std::shared_ptr<MemberLink> link;
    std::string organisation;
    Instant since{};
};

struct PinnedTransaction
{
    std::shared_ptr<MemberLink> link;
    std::string organisation;
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
    void keepIdle(const std::shared_ptr<MemberLink> &link, const std::string &organisation);
    size_t maxIdle() const;
    // `link` is no entry of `idle`, which changes.
    void discard(const std::shared_ptr<MemberLink> &link);
    void rollBack(const std::shared_ptr<MemberLink> &link, const std::string &organisation);
    uint32_t connectionCap(Instant now) const;

    // The steps of one statement on its connection.
    void prepareLink(const JobPointer &job);
    void runSetupSteps(const JobPointer &job, std::deque<std::string> steps);
    void sendStatement(const JobPointer &job);
    void handleAnswer(const JobPointer &job, MemberReply reply);
    void handleConnectionFailure(const JobPointer &job, const MemberReply &reply);
    void updateTransaction(const JobPointer &job, const MemberReply &reply);
    void finish(const JobPointer &job, StatementOutcome outcome);
    void reportOutcome(const JobPointer &job, StatementOutcome outcome) const;

    void markUnreachable(const std::string &reason);
    void checkLiveness(Instant now);

    std::weak_ptr<MemberDispatcher> self;
    boost::asio::io_context &ioContext;
    DispatcherEnvironment environment;
    MemberEntry entry;
    DispatcherLimits limits;

    FairQueue queue;
    uint64_t nextNumber = 1;
    std::map<uint64_t, JobPointer> waiting;
    std::deque<JobPointer> continuing;
    // Have their turn, but no connection is free.
    std::deque<JobPointer> stalled;
    std::list<JobPointer> active;
    size_t runningOutsideQueue = 0;
    bool isStartingQueued = false;

    std::vector<std::shared_ptr<MemberLink>> links;
    std::deque<IdleLink> idle;
    std::map<SessionId, PinnedTransaction> pinned;
    uint32_t reducedCap = 0;
    Instant reducedCapUntil{};
    Instant unreachableUntil{};
    std::string unreachableReason;
    // It was logged as such and has not answered since.
    bool isLoggedUnreachable = false;
    Instant lastReplyAt{};
    bool isCheckingLiveness = false;
    bool isPreferredDispatcher = true;
    Instant positionsNeededAt{};
};

} // namespace gentianplank
