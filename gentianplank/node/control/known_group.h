// What a VM knows of a group's record, also across a return of the store from an older copy.
//
// In a new era the stored record may be older than the one known, or gone. The known one stays in
// use for as long as it was proven in the earlier era, until the holder of the promotion duty has
// checked it with the members and stored it again.
#pragma once

#include "gentianplank/platform/line_codec.h"
#include "gentianplank/store/store_version.h"
#include "gentianplank/target/group_record.h"

#include <optional>
#include <span>
#include <string>

namespace gentianplank {

struct KnownGroup
{
    // The newest record known; epoch 0 if there is none.
    GroupRecord record;
    // The version of the stored row, whatever record it holds; absent if there is no row.
    StoreVersion version;
    // `record` was stored in the store's current era.
    bool isConfirmed = false;
    // For a record that isn't confirmed: until when it was proven to be current in the era that it
    // was confirmed in.
    BootInstant provenUntil{};
    // The highest epoch of a change that was announced to this VM.
    uint64_t announcedEpoch = 0;
};

// Applies a row of the store; `stored` is empty if the row is gone.
void applyGroupRow(KnownGroup &group, const std::optional<GroupRecord> &stored,
                   const StoreVersion &version);

// Marks the record as not confirmed since the store is in a new era. `provenAt` is the last proof
// of the earlier era. The stored row keeps its number unless a changed one is applied.
void beginEra(KnownGroup &group, uint64_t era, BootInstant provenAt);

// How an unconfirmed record may be confirmed.
enum class Confirmation {
    // By asking the members.
    Check,
    // The record may miss a change whose promotion hasn't taken effect yet, so that the members
    // don't know of it either: only after such a promotion would have.
    CheckLater,
    // A change was announced whose outcome is lost: only by a change.
    Change,
};

// `eraSeenAt` is when this VM first read from the store in its current era.
Confirmation confirmationOf(const KnownGroup &group, BootInstant eraSeenAt, BootInstant now);

// Returns the record as `writer` stores it next, in `era`, with an epoch above all earlier ones.
GroupRecord nextRecord(const GroupRecord &record, uint64_t era, const std::string &writer);

// The same for a record that is stored again in a new era. If it is changing, the lost rows may
// have listed more promotions.
GroupRecord confirmedRecord(const GroupRecord &record, uint64_t era, const std::string &writer);

// The answer of a member of the group.
struct MemberAnswer
{
    std::string member;
    platform::MemberStatus status;
};

// What the members' answers say about a record.
enum class RecordVerdict {
    // Its primary leads, and no member knows of a later term.
    Confirmed,
    // Its primary doesn't lead, or a member knows of a later term.
    Refuted,
    // Its primary didn't answer, and nothing speaks against it.
    Unknown,
};

RecordVerdict checkRecord(const GroupRecord &record, std::span<const MemberAnswer> answers);
const char *toString(RecordVerdict verdict);

} // namespace gentianplank
