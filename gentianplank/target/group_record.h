// The stored record that names the primary of a group, and the lease under which a VM uses it.
//
// A VM may use the primary of a record only if it knew the record to be current less than
// PrimaryLeaseDuration ago. To change the primary, a VM first stores the record in the Changing
// phase, then waits until every VM has confirmed that it no longer uses the old primary, or for
// PrimaryLeaseDuration.
#pragma once

#include "gentianplank/base/boot_clock.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// How long a record may be used after it was last known to be current. The feed of records answers
// within 1.8 s and a lost answer is noticed 0.7 s later, so a single lost answer doesn't expire the
// lease.
inline constexpr Duration PrimaryLeaseDuration = std::chrono::seconds(3);

enum class GroupPhase {
    Serving,
    // The primary is being changed; no primary may be used.
    Changing,
};

struct GroupRecord
{
    std::string group;
    // Higher with every write of the record, also across eras of the store.
    uint64_t epoch = 0;
    GroupPhase phase = GroupPhase::Serving;
    // The member that is primary; in the Changing phase the former primary.
    std::string primary;
    // MemberEntry::startedAtMs of the primary.
    int64_t primaryStartedAtMs = 0;
    // The log term of the primary, if known.
    uint64_t term = 0;
    // The change is planned: the old primary still serves, and its commits must be kept.
    bool isOrderly = false;
    // The VM that wrote the record.
    std::string writer;
    // The store's era that the record was written in; empty in records of processes that don't know
    // eras.
    std::optional<uint64_t> era = std::nullopt;
    // In the Changing phase: the members whose promotion may have been requested since the phase
    // began, in the order of the requests. A member is listed before its promotion is requested.
    // Empty if it may have been any member, as in records of processes that don't list them.
    std::optional<std::vector<std::string>> promoted = std::nullopt;

    bool operator==(const GroupRecord &) const = default;
};

// Encodes a record as the JSON text that is stored, and decodes it. Decoding returns an error
// message if the text isn't valid.
std::string encodeGroupRecord(const GroupRecord &record);
tl::expected<GroupRecord, std::string> decodeGroupRecord(std::string_view json);

// A record with the last instant at which it was known to be current.
struct PrimaryLease
{
    GroupRecord record;
    BootInstant provenAt{};
};

// Whether the record's primary may be used at `now`: the record is in the Serving phase and the
// lease hasn't expired.
bool mayUsePrimary(const PrimaryLease &lease, BootInstant now);

} // namespace gentianplank
