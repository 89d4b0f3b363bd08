// The log of configuration changes in the platform's table service: a head row with the newest
// revision, and a row for each change.
//
//     ChangeLog log(store);
//     auto stored = log.append(change, timeout);       // change.revision() is head + 1
//     auto changes = log.readAfter(known, 100, timeout);
#pragma once

#include "gentianplank/configuration/change.h"
#include "gentianplank/store/table_store.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

enum class AppendError {
    // Another change has the revision.
    Conflict,
    // The member list changed concurrently; the change may be appended again.
    MembersChanged,
    // The store was unavailable; the change wasn't stored.
    Unavailable,
    // It is unknown whether the change was stored.
    OutcomeUnknown,
};

struct AppendFailure
{
    AppendError error = AppendError::Unavailable;
    // After a Conflict: the change that has the revision, if it could be read.
    ConfigurationChange conflictingChange;
};

// The position of a change in the store.
struct StoredChange
{
    uint64_t revision = 0;
    // Revision of the member list's row when the change was stored, or a later one.
    uint64_t membersRevision = 0;
};

// Thread-safe if the store is.
class ChangeLog
{
public:
    // `membersKey` is the key of the member list's row. Appends are conditional on that row, so
    // that changes of the log and of the member list are totally ordered. Empty if there is no such
    // row.
    explicit ChangeLog(TableStore &store, std::string membersKey = {});

    // Returns the newest revision; 0 for an empty log.
    tl::expected<uint64_t, StoreError> head(Duration timeout);

    // Appends a change whose revision() is head + 1. Idempotent by write id: if the id is stored
    // already, returns the position of that change. A lost answer is resolved by reading back. May
    // take several timeouts.
    tl::expected<StoredChange, AppendFailure> append(const ConfigurationChange &change,
                                                     Duration timeout);

    // Returns the position of the change with a write id, or nullopt if there is none.
    tl::expected<std::optional<StoredChange>, StoreError> findWrite(std::string_view writeId,
                                                                    Duration timeout);

    // Reads at most `limit` changes after a revision, in order.
    tl::expected<std::vector<ConfigurationChange>, StoreError>
    readAfter(uint64_t revision, uint32_t limit, Duration timeout);

private:
    tl::expected<StoredChange, AppendFailure> tryAppend(const ConfigurationChange &change,
                                                        Duration timeout);
    AppendFailure conflictFailure(uint64_t revision, Duration timeout);

    TableStore &m_store;
    std::string m_membersKey;
};

} // namespace gentianplank
