// The platform's table store as the entry VMs use it: rows, transactions and feeds of changes.
//
//     store.read({.table = "vms"}, timeout, [](RowResult<RowSet> result) { ... });
//     store.change(transaction, timeout, [](RowResult<uint64_t> result) { ... });
#pragma once

#include "gentianplank/base/boot_clock.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace gentianplank {

// A row with the version of its last write. Version 0 stands for a row that does not exist.
struct StoredRow
{
    std::string table;
    std::string key;
    std::string value;
    uint64_t version = 0;
    bool erased = false;
};

// A row must have `version`; 0 means that it must not exist.
struct RowCondition
{
    std::string table;
    std::string key;
    uint64_t version = 0;
};

// All writes and erasures take effect when every condition holds, otherwise none.
struct RowTransaction
{
    std::vector<RowCondition> conditions;
    std::vector<StoredRow> writes;
    std::vector<RowCondition> erasures;
};

// Rows as of one moment.
struct RowSet
{
    std::vector<StoredRow> rows;
    // The store's newest version at that moment.
    uint64_t version = 0;
    // The store may know more rows of those that were asked for; nothing is proven then.
    bool hasMore = false;
    // Everything acknowledged before this moment is in it.
    BootInstant provenAt{};
};

enum class RowFault {
    // The store did nothing: it was unreachable, busy or refused.
    NotDone,
    // The answer was lost: a transaction may have taken effect, or may yet.
    OutcomeUnknown,
    // A condition did not hold.
    ConditionFailed,
    // The changes asked for are no longer kept.
    HistoryGone,
    // The answer can't be read.
    BadAnswer,
};

struct RowError
{
    RowFault fault = RowFault::OutcomeUnknown;
    std::string what;
    // For ConditionFailed, the rows of the conditions as they are.
    std::vector<StoredRow> present;
};

template <typename T>
using RowResult = tl::expected<T, RowError>;

struct RowRange
{
    std::string table;
    // Keys from `from`, included; all when empty.
    std::string from;
};

// Calls return at once; `done` runs once, later, on the thread that runs the store. Not
// thread-safe.
class RowStore
{
public:
    virtual ~RowStore() = default;

    virtual void read(RowRange range, Duration timeout,
                      std::function<void(RowResult<RowSet>)> done) = 0;

    // The result is the version given to the rows written.
    virtual void change(RowTransaction transaction, Duration timeout,
                        std::function<void(RowResult<uint64_t>)> done) = 0;

    // Answers as soon as there are changes of `table` after version `after`, or after `wait`
    // without any. `timeout` spans the whole call.
    virtual void changesAfter(std::string table, uint64_t after, Duration wait, Duration timeout,
                              std::function<void(RowResult<RowSet>)> done) = 0;
};

} // namespace gentianplank
