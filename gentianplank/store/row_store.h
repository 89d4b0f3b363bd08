// Interface of the platform's table store for entry VMs: rows, transactions and change feeds.
//
//     store.read({.table = "vms"}, timeout, [](RowResult<RowSet> result) { ... });
//     store.change(transaction, timeout, [](RowResult<uint64_t> result) { ... });
#pragma once

#include "gentianplank/base/boot_clock.h"
#include "gentianplank/store/store_version.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace gentianplank {

// A row with the version of its last write.
struct StoredRow
{
    std::string table;
    std::string key;
    std::string value;
    StoreVersion version;
    bool erased = false;
};

// Requires that a row has `version`; an absent version requires that it doesn't exist.
struct RowCondition
{
    std::string table;
    std::string key;
    StoreVersion version;
};

// All writes and erasures take effect if every condition holds, otherwise none.
struct RowTransaction
{
    std::vector<RowCondition> conditions;
    std::vector<StoredRow> writes;
    std::vector<RowCondition> erasures;
};

// Rows as of one version of the store.
struct RowSet
{
    std::vector<StoredRow> rows;
    // The store's newest version when the rows were read. All rows are of its era.
    StoreVersion version;
    // The answer may be truncated: the store may have more of the requested rows. `provenAt`
    // doesn't apply then.
    bool hasMore = false;
    // Everything acknowledged in this era before this time is included.
    BootInstant provenAt{};
    // For changes after a version of the previous era: rows that are not listed are as they were
    // at that version, with the same numbers.
    bool carriesOverOtherRows = false;
};

enum class RowFault {
    // The request had no effect: the store was unreachable or busy, or refused it.
    NotDone,
    // The answer was lost: a transaction may have taken effect, or may still do so.
    OutcomeUnknown,
    // A condition didn't hold.
    ConditionFailed,
    // The store no longer keeps the requested changes, or is in a later era.
    HistoryGone,
    // The answer can't be parsed.
    BadAnswer,
};

struct RowError
{
    RowFault fault = RowFault::OutcomeUnknown;
    std::string what;
    // For ConditionFailed: the current rows of the conditions.
    std::vector<StoredRow> present;
};

template <typename T>
using RowResult = tl::expected<T, RowError>;

// Returns the earliest era of the versions that the conditions require; nullopt if they require
// only absent rows.
std::optional<uint64_t> conditionEra(const RowTransaction &transaction);

// Returns the answer to a feed request after a version, or HistoryGone if the answer is of another
// era and not relative to the requested one: its numbers then say nothing about what changed.
RowResult<RowSet> asContinuation(RowResult<RowSet> changes, const StoreVersion &after);

struct RowRange
{
    std::string table;
    // The lowest key, inclusive; empty for all keys.
    std::string from;
};

// Calls return immediately; `done` is called once, later, on the store's thread. Not thread-safe.
class RowStore
{
public:
    virtual ~RowStore() = default;

    // Reads rows in key order; the answer may hold only the first of them (RowSet::hasMore).
    virtual void read(RowRange range, Duration timeout,
                      std::function<void(RowResult<RowSet>)> done) = 0;

    // Runs a transaction. The result is the version given to the rows written. Conditions on rows
    // of an earlier era don't hold.
    virtual void change(RowTransaction transaction, Duration timeout,
                        std::function<void(RowResult<StoreVersion>)> done) = 0;

    // Long poll: answers as soon as there are changes of `table` after version `after`, or after
    // `wait` without any. `timeout` spans the whole call. If the store is in another era than
    // `after`, fails with HistoryGone, or answers relative to `after` (carriesOverOtherRows).
    virtual void changesAfter(std::string table, StoreVersion after, Duration wait,
                              Duration timeout, std::function<void(RowResult<RowSet>)> done) = 0;
};

} // namespace gentianplank
