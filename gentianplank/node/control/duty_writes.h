// What only the holder of the duty may do. The store refuses its writes once another VM has taken
// the duty, also when the VM that asks for them has not heard of it yet.
#pragma once

#include "gentianplank/store/row_store.h"
#include "gentianplank/target/group_record.h"

#include <cstdint>
#include <string_view>

namespace gentianplank {

// Stores the record over its group's row with `version`; 0 when there is none. `dutyVersion` is the
// version of the row by which the writer holds the duty.
RowTransaction groupRecordWrite(const GroupRecord &record, uint64_t version, uint64_t dutyVersion);

// Erases the row with `version` of a VM that is gone.
RowTransaction vmRowErasure(std::string_view vm, uint64_t version, uint64_t dutyVersion);

// Whether rows that were read just now, from the duty's on, allow the promotion of a member: the
// duty is held by `dutyVersion`, and the group's row is still the one with `version` that the
// change stands on. Of very many rows the group's may be left out; it then counts as unchanged.
bool allowsPromotion(const RowSet &read, uint64_t dutyVersion, std::string_view group,
                     uint64_t version);

// Whether what is proven to hold at `provenAt` shows this VM's last write, and all that earlier
// holders of the duty wrote before `takenAt`.
bool showsAllWrites(BootInstant provenAt, BootInstant writtenAt, BootInstant takenAt);

} // namespace gentianplank
