// The stored record that says which member leads a group, and the right to use it.
//
// A VM may use the primary of a record only while it knows, by a proof younger than
// PrimaryLeaseDuration, that the record stands. Whoever names another primary first stores a record
// that is changing, then waits until every VM has given the old primary up, or for
// PrimaryLeaseDuration.
#pragma once

#include "gentianplank/base/boot_clock.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace gentianplank {

// How old a proof of a record may be. The record's feed answers within 1.8 s, and a lost answer
// shows 0.7 s later, so that one lost answer costs nothing.
inline constexpr Duration PrimaryLeaseDuration = std::chrono::seconds(3);

enum class GroupPhase {
    Serving,
    // No primary may be used.
    Changing,
};

struct GroupRecord
{
    std::string group;
    // Rises with every write of the record.
    uint64_t epoch = 0;
    GroupPhase phase = GroupPhase::Serving;
    // The member that leads, or led.
    std::string primary;
    int64_t primaryStartedAtMs = 0;
    // The log's term that the primary leads, as far as known.
    uint64_t term = 0;
    // The old primary still serves; its commits are to be kept.
    bool isOrderly = false;
    // The VM that wrote the record.
    std::string writer;

    bool operator==(const GroupRecord &) const = default;
};

std::string encodeGroupRecord(const GroupRecord &record);
tl::expected<GroupRecord, std::string> decodeGroupRecord(std::string_view json);

// A record with the moment up to which it is known to stand.
struct PrimaryLease
{
    GroupRecord record;
    BootInstant provenAt{};
};

// Whether the record's primary may be used at `now`.
bool mayUsePrimary(const PrimaryLease &right, BootInstant now);

} // namespace gentianplank
