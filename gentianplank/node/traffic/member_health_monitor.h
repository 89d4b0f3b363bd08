// What this VM's statements show about the health of the members, and the budget for second
// attempts of reads. The router reports every attempt and asks which members to leave out.
#pragma once

#include "gentianplank/node/traffic/forwarded_statement.h"
#include "gentianplank/statement/retry_budget.h"
#include "gentianplank/target/member_health.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace gentianplank {

// Returns what the outcome of a statement says about its member. Refusals of the dispatcher, such
// as those of a full queue, and outcomes lost between VMs say nothing. Thread-safe.
OutcomeSign signOf(const ForwardedStatement &statement, const StatementOutcome &outcome);

// Whether the statement only reads, outside a transaction, so that it may run at several members.
// Thread-safe.
bool isPlainRead(const ForwardedStatement &statement);

// Not thread-safe.
class MemberHealthMonitor
{
public:
    // Sets the number of VMs, which share the probing of suspect members.
    void setVmCount(size_t vms);

    // Counts a statement, which adds to the group's budget for second attempts.
    void countStatement(const std::string &group);
    // Takes a second attempt of a read from the group's budget; returns false if none is left.
    bool consumeRetry(const std::string &group);

    // Returns the members that a statement that does not need the primary is not sent to.
    std::vector<std::string> withheld(const ForwardedStatement &statement, Instant now);

    // Whether a read that failed at the member may be tried again elsewhere.
    bool mayBeAtFault(const ForwardedStatement &statement, const std::string &member,
                      Instant now) const;

    // Adds the members of the statement's group for which mayBeAtFault() is true to `members`.
    void addDoubtful(const ForwardedStatement &statement, Instant now,
                     std::set<std::string> &members) const;

    // Records that a statement is sent to the member. Returns the time limit of the attempt: part
    // of `timeout` if the statement may be tried again elsewhere and the member is doubtful.
    Duration recordSent(const ForwardedStatement &statement, const std::string &member,
                        Duration timeout, Instant now);

    // Records the outcome of an attempt at a member whose process started at `startedAtMs`.
    void recordOutcome(const ForwardedStatement &statement, const std::string &member,
                       int64_t startedAtMs, const StatementOutcome &outcome, Instant now);

    // What this VM's statements of all kinds showed about the members of a group.
    std::map<std::string, Evidence> evidenceOf(const std::string &group, Instant now) const;

private:
    struct Group
    {
        GroupHealth health;
        RetryBudget retries;
        // A member is not healthy, or may soon not be.
        bool hasDoubts = false;
    };

    void update(const std::string &name, Group &group, Instant now);

    std::map<std::string, Group, std::less<>> m_groups;
    Duration m_probeInterval = probeIntervalFor(1);
};

} // namespace gentianplank
