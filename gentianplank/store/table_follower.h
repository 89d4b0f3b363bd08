// Follows a table of the store: knows its rows, and since when it knows that nothing is missing.
//
//     TableFollower follower(store, scheduler, "vms", settings, listener);
//     follower.start();
//     follower.provenAt();       // all changes acknowledged before this moment are known
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
    // How long the store waits for a change before it answers without one.
    Duration wait = std::chrono::seconds(1);
    // How much longer than `wait` an answer may take.
    Duration patience = std::chrono::milliseconds(700);
    // Changes that follow each other more closely than this, after the first few, are read
    // together.
    Duration pace = std::chrono::milliseconds(250);
    // A process that has just started reads changes together this often, for this long: a whole
    // fleet that starts changes its tables many times a second.
    Duration startPace = std::chrono::milliseconds(500);
    Duration startupPeriod = std::chrono::seconds(1);
    // After its first reading, a table that will soon change a lot is left alone for this long.
    std::function<Duration()> delayAfterFirstRead;
    Duration shortestPause = std::chrono::milliseconds(50);
    Duration longestPause = std::chrono::milliseconds(400);
};

// What a follower tells. All calls come on its thread.
struct TableFollowerListener
{
    // Rows that were written or erased, in the order of their versions.
    std::function<void(const std::vector<StoredRow> &)> onChanges;
    // Nothing acknowledged before `provenAt` is missing. Called after onChanges.
    std::function<void(BootInstant provenAt)> onUpToDate;
    // The store was lost or regained; `what` names the error.
    std::function<void(bool isReachable, const std::string &what)> onReachable;
};

// Not thread-safe. Runs until it is destroyed.
class TableFollower
{
public:
    TableFollower(RowStore &store, Scheduler scheduler, std::string table,
                  TableFollowerSettings settings, TableFollowerListener listener);
    ~TableFollower();

    void start();

    const std::map<std::string, StoredRow> &rows() const;

    // The epoch while nothing was read yet.
    BootInstant provenAt() const;

    // The rows that changed after a version, in order; nothing when that is no longer known.
    std::optional<std::vector<StoredRow>> changesAfter(uint64_t version) const;

    // Whether it is known that no row changed after a version.
    bool isUnchangedSince(uint64_t version) const;

    // The store's version that the rows are as of.
    uint64_t version() const;

    // Whether the last call succeeded.
    bool isReachable() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
