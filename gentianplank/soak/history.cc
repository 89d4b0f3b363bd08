#include "gentianplank/soak/history.h"

#include <algorithm>
#include <map>
#include <set>

namespace gentianplank {

namespace {

using Violations = std::vector<Violation>;

void checkWrites(const History &history, Violations &found)
{
    std::map<std::string, int> commits;
    for (const CommittedWrite &it : history.commits) {
        ++commits[it.data];
    }
    for (const auto &[data, n] : commits) {
        if (n > 1) {
            found.push_back({"a write runs at most once",
                             data + " was committed " + std::to_string(n) + " times"});
        }
    }
    for (const CallerOperation &it : history.operations) {
        if (it.written.empty()) {
            continue;
        }
        const bool isKept = commits.count(it.written) != 0;
        if (it.end == OperationEnd::Refused && isKept) {
            found.push_back({"\"not run\" is true", it.written + " was refused and committed"});
        }
        if (it.end == OperationEnd::Done && !isKept) {
            found.push_back(
                {"a member's success is real", it.written + " was acknowledged and not committed"});
        }
    }
}

// Each item has one writer, so a read must return its last acknowledged value or one that was
// written later with an unknown outcome.
void checkOwnReads(const History &history, Violations &found)
{
    struct Item
    {
        std::string acknowledged;
        // Writes whose outcome is unknown may take effect at any time.
        std::set<std::string> unknown;
    };
    std::map<std::string, Item> items;
    for (const CallerOperation &it : history.operations) {
        Item &item = items[it.item];
        if (!it.written.empty()) {
            if (it.end == OperationEnd::Done) {
                item.acknowledged = it.written;
            } else if (it.end != OperationEnd::Refused) {
                item.unknown.insert(it.written);
            }
        } else if (it.read && it.end == OperationEnd::Done && *it.read != item.acknowledged &&
                   item.unknown.count(*it.read) == 0) {
            found.push_back({"a session reads its own writes",
                             it.statements.front() + " read '" + *it.read + "' of " + it.item +
                                 " instead of '" + item.acknowledged + "'"});
        }
    }
}

using Runs = std::map<std::string, std::vector<const ExecutedStatement *>>;

// Returns the connections on which a statement ran.
std::set<uint64_t> connectionsOf(const Runs &runs, const std::string &id)
{
    std::set<uint64_t> connections;
    const auto it = runs.find(id);
    if (it != runs.end()) {
        for (const ExecutedStatement *run : it->second) {
            connections.insert(run->connection);
        }
    }
    return connections;
}

// The commit ran on one connection, and so did every statement before it. The first statement may
// have run on others too: when a VM falls silent, the transaction is opened anew elsewhere, and the
// first connection is rolled back (seen with seed 6).
void checkTransaction(const CallerOperation &operation, const Runs &runs, Violations &found)
{
    const auto commit = connectionsOf(runs, operation.statements.back());
    for (size_t i = 0; i < operation.statements.size(); ++i) {
        const auto connections = connectionsOf(runs, operation.statements[i]);
        const bool isOnCommits = i == 0
                                     ? commit.size() == 1 && connections.count(*commit.begin()) != 0
                                     : connections == commit;
        if (!isOnCommits) {
            found.push_back(
                {"a transaction stays on one connection",
                 operation.statements[i] + " ran on other connections than its commit"});
            return;
        }
    }
}

// Whether the organisation held the moving key when the statement ran, or lost it within the limit.
bool mayRunForHolder(const History &history, const ExecutedStatement &run)
{
    return std::any_of(history.movingKey.begin(), history.movingKey.end(),
                       [&](const KeyPeriod &it) {
                           return it.organisation == run.organisation && it.from <= run.at &&
                                  run.at - history.revocationLimit <= it.until;
                       });
}

void checkRuns(const History &history, Violations &found)
{
    Runs runs;
    for (const ExecutedStatement &it : history.runs) {
        runs[it.requestId].push_back(&it);
    }
    for (const CallerOperation &it : history.operations) {
        for (const std::string &id : it.statements) {
            for (const ExecutedStatement *run : runs[id]) {
                if (!it.organisation.empty() && run->organisation != it.organisation) {
                    found.push_back(
                        {"a statement runs for its key's organisation",
                         id + " of " + it.organisation + " ran for " + run->organisation});
                }
                if (it.organisation.empty() && !mayRunForHolder(history, *run)) {
                    found.push_back(
                        {"a statement runs for its key's organisation",
                         id + " ran for " + run->organisation + ", which no longer held the key"});
                }
                if (it.isAfterWithdrawal) {
                    found.push_back({"a withdrawn key stops working",
                                     id + " ran after the key had been withdrawn"});
                }
            }
        }
        if (it.isTransaction && it.end == OperationEnd::Done) {
            checkTransaction(it, runs, found);
        }
    }
}

void checkPlannedStops(const History &history, Violations &found)
{
    for (const CallerOperation &it : history.operations) {
        if (it.isDuringPlannedStop && it.end == OperationEnd::Cut) {
            found.push_back(
                {"a planned stop cuts off no request",
                 it.statements.front() + " had no answer from VM " + std::to_string(it.vm)});
        }
    }
}

} // namespace

std::vector<Violation> check(const History &history)
{
    std::vector<Violation> found;
    checkWrites(history, found);
    checkOwnReads(history, found);
    checkRuns(history, found);
    checkPlannedStops(history, found);
    return found;
}

} // namespace gentianplank
