// Writes that only the holder of the duty may make. The store refuses them once another VM has
// taken the duty, also when the VM that asks for them has not heard of it yet.
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

} // namespace gentianplank
