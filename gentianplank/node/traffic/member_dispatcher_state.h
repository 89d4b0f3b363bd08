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
inline constexpr Duration ShortestHint = std::chrono::milliseconds(20);
// A statement must have this much left to be worth starting.
inline constexpr Duration LeastTime = std::chrono::milliseconds(5);
// To a far member this many statements are under way for each of its slots: of a way of 40 ms and
// statements of 10 to 25 ms, a third is spent in the slot. What comes early waits at the member.
inline constexpr uint32_t FarStatementsPerSlot = 3;
// Several times what fits into the longest statement limit at the usual cost of a statement.
inline constexpr size_t LongestQueue = 400;
// How long a member that has too many connections is not asked for another. Asking takes a slot of
// the member for about a tenth of this.
inline constexpr Duration FullPause = std::chrono::milliseconds(150);

// A statement in the dispatcher's hands.
struct Job
{
    ForwardedStatement statement;
    OutcomeHandler done;
    uint64_t number = 0;
    Instant arrivedAt{};
    Instant deadline{};
    // The fair queue counts it as running.
    bool isInQueue = false;
    // It counts as running without the queue.
    bool isBesideQueue = false;
    std::shared_ptr<MemberLink> link;
    // The statement itself is on its way to the member.
    bool isSent = false;
    Instant sentAt{};
    BootInstant sentAtBoot{};
    // When the member was last asked something for it on an open connection: a step of the
    // dispatcher's own or the statement.
    Instant askedAt{};
    bool wasPreparedAgain = false;
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
          DispatcherLimits figures)
        : ioContext(context)
        , environment(std::move(callbacks))
        , entry(std::move(member))
        , limits(figures)
        , queue(makeFairQueue(LongestQueue))
    {
        queue.slots = entry.slots;
    }

    // The queue.
    void accept(const JobPointer &job);
    void pump();
    void startNew(const JobPointer &job);
    void continueTransaction(const JobPointer &job);
    void endTurn(const JobPointer &job);
    void freed();
    void expireWaiting(Instant now);
    size_t running() const { return queue.running.size() + besideQueue; }
    size_t mostRunning() const
    {
        return size_t{entry.slots} * (limits.isFar ? FarStatementsPerSlot : 1);
    }

    // Connections.
    std::shared_ptr<MemberLink> takeIdle(const Job &job);
    bool evictIdle();
    void openLink(const JobPointer &job);
    void opened(const JobPointer &job, const MemberReply &reply);
    void openFailed(const JobPointer &job, const MemberReply &reply);
    void park(const std::shared_ptr<MemberLink> &link, const std::string &organisation);
    size_t mostIdle() const;
    // `link` is no entry of `idle`, which changes.
    void drop(const std::shared_ptr<MemberLink> &link);
    void rollBack(const std::shared_ptr<MemberLink> &link, const std::string &organisation);
    uint32_t connectionCap(Instant now) const;

    // The steps of one statement on its connection.
    void prepareLink(const JobPointer &job);
    void runSteps(const JobPointer &job, std::deque<std::string> steps);
    void send(const JobPointer &job);
    void answered(const JobPointer &job, MemberReply reply);
    void broken(const JobPointer &job, const MemberReply &reply);
    void settleTransaction(const JobPointer &job, const MemberReply &reply);
    void finish(const JobPointer &job, StatementOutcome outcome);
    void tell(const JobPointer &job, StatementOutcome outcome) const;

    void markUnreachable(const std::string &reason);
    void checkLife(Instant now);

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
    size_t besideQueue = 0;
    bool isPumping = false;

    std::vector<std::shared_ptr<MemberLink>> links;
    std::deque<IdleLink> idle;
    std::map<SessionId, PinnedTransaction> pinned;
    uint32_t capWhileFull = 0;
    Instant fullUntil{};
    Instant unreachableUntil{};
    std::string unreachableReason;
    // It was logged as such and has not answered since.
    bool isKnownUnreachable = false;
    Instant lastReplyAt{};
    bool isCheckingLife = false;
    bool isFirstChoice = true;
    Instant positionsNeededAt{};
};

} // namespace gentianplank
