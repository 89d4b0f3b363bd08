// Keeps a copy of a table of the store up to date through the store's change feed, and tracks up to
// which time the copy is known to be complete.
//
//     TableFollower follower(store, scheduler, "vms", settings, listener);
//     follower.start();
//     follower.provenAt();       // all changes acknowledged before this time are included
#pragma once

#include "gentianplank/store/row_store.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace gentianplank {

// Runs `task` once, after `delay`, on the follower's thread.
using Scheduler = std::function<void(Duration delay, std::function<void()> task)>;

struct TableFollowerSettings
{
    // How long a long poll waits for a change before the store answers without one.
    Duration wait = std::chrono::seconds(1);
    // How much longer than `wait` an answer may take.
    Duration answerGrace = std::chrono::milliseconds(700);
    // Delay before the next poll after frequent changes, so that they are read together.
    Duration coalescingDelay = std::chrono::milliseconds(250);
    // Replaces coalescingDelay during startupPeriod, since a fleet that starts as a whole changes
    // its tables many times a second.
    Duration startupCoalescingDelay = std::chrono::milliseconds(500);
    Duration startupPeriod = std::chrono::seconds(1);
    // Returns the delay between the first read of the table and the first poll for changes, for a
    // table that is about to change a lot. Empty for no delay.
    std::function<Duration()> delayAfterFirstRead;
    // Failed calls are retried with a delay that doubles from the first to the second value.
    Duration minRetryDelay = std::chrono::milliseconds(50);
    Duration maxRetryDelay = std::chrono::milliseconds(400);
};

// Callbacks of a follower, called on its thread.
struct TableFollowerListener
{
    // The store came back from an older copy, in a later era than the last answer's. The versions
    // of all known rows are of the new era now, with the same numbers; the next onChanges holds the
    // rows that are different in the new era, the lost ones as erased. May be empty.
    std::function<void(uint64_t era)> onNewEra;
    // Rows that were written or erased. Changes from the feed are in the order of their versions.
    std::function<void(const std::vector<StoredRow> &)> onChanges;
    // All changes acknowledged before `provenAt` are included. Called after onChanges.
    std::function<void(BootInstant provenAt)> onUpToDate;
    // The store became reachable or unreachable; `what` is the reason.
    std::function<void(bool isReachable, const std::string &what)> onReachable;
};

// Follows the table from start() until destruction. Not thread-safe.
class TableFollower
{
public:
    TableFollower(RowStore &store, Scheduler scheduler, std::string table,
                  TableFollowerSettings settings, TableFollowerListener listener);
    ~TableFollower();

    void start();

    const std::map<std::string, StoredRow> &rows() const;

    // Returns the time up to which all acknowledged changes are included; the clock's epoch until
    // the table has been read.
    BootInstant provenAt() const;

    // Returns the rows that changed after a version, in the order of their versions; nullopt if the
    // history doesn't reach back to the version. After a version of the previous era, the rows that
    // are different in the current one are among them.
    std::optional<std::vector<StoredRow>> changesAfter(StoreVersion version) const;

    // Whether no row changed after a version. False if the history doesn't reach back to it.
    bool isUnchangedSince(StoreVersion version) const;

    // Returns the store's version as of which the rows are known.
    StoreVersion version() const;

    // Whether the last call to the store succeeded.
    bool isReachable() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
