// The log of changes in the platform's table service: one head row that counts revisions, and one
// row for each change.
//
//     ChangeLog log(store);
//     auto written = log.append(change, timeout);      // change.revision() is the next one
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
    // Another change took the revision.
    Conflict,
    // The member list changed meanwhile: append again.
    MembersChanged,
    // The store did not take it.
    Unavailable,
    // Neither effect nor absence could be shown in time.
    OutcomeUnknown,
};

struct AppendFailure
{
    AppendError error = AppendError::Unavailable;
    // The change that took the revision, after a conflict.
    ConfigurationChange conflictingChange;
};

// Where a change stands in the store.
struct StoredChange
{
    uint64_t revision = 0;
    // The revision of the member list's row in whose presence the change was stored, or a later
    // one.
    uint64_t membersRevision = 0;
};

// Thread-safe when the store is.
class ChangeLog
{
public:
    // `membersKey` names the row of the member list; changes of the two are stored in one order.
    // Empty when there is no such row.
    explicit ChangeLog(TableStore &store, std::string membersKey = {});

    // Returns the newest revision; 0 for an empty log.
    tl::expected<uint64_t, StoreError> head(Duration timeout);

    // Appends a change whose revision() is head + 1 and whose write id was never stored. A lost
    // answer is resolved by reading back; a write id that is stored already is not stored again:
    // its place is returned. Waits up to a few timeouts.
    tl::expected<StoredChange, AppendFailure> append(const ConfigurationChange &change,
                                                     Duration timeout);

    // Returns where a write id was stored, or nothing when it wasn't.
    tl::expected<std::optional<StoredChange>, StoreError> findWrite(std::string_view writeId,
                                                                    Duration timeout);

    // Reads at most `limit` changes after a revision, in order.
    tl::expected<std::vector<ConfigurationChange>, StoreError>
    readAfter(uint64_t revision, uint32_t limit, Duration timeout);

private:
    tl::expected<StoredChange, AppendFailure> tryAppend(const ConfigurationChange &change,
                                                        Duration timeout);
    AppendFailure conflictAt(uint64_t revision, Duration timeout);

    TableStore &m_store;
    std::string m_membersKey;
};

} // namespace gentianplank
