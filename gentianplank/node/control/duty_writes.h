// Transactions and checks of the holder of the promotion duty. Every write is conditional on the
// duty's row, so that the store rejects it once another VM has acquired the duty, even when the
// writer does not know that yet.
#pragma once

#include "gentianplank/store/row_store.h"
#include "gentianplank/target/group_record.h"

#include <cstdint>
#include <string_view>

namespace gentianplank {

// Writes the group's record if its row still has `version`.
// `dutyVersion` is the version of the duty's row that the writer acquired.
RowTransaction groupRecordWrite(const GroupRecord &record, const StoreVersion &version,
                                const StoreVersion &dutyVersion);

// Erases the row of a VM that is gone, if it still has `version`.
RowTransaction vmRowErasure(std::string_view vm, const StoreVersion &version,
                            const StoreVersion &dutyVersion);

// Whether rows read just now, starting with the duty's, allow the promotion of a member: the duty's
// row still has `dutyVersion`, and the group's row still has the `version` that the change is based
// on. If the group's row is missing because there were too many rows for one read, it counts as
// unchanged.
bool allowsPromotion(const RowSet &read, const StoreVersion &dutyVersion, std::string_view group,
                     const StoreVersion &version);

// Whether a state that is proven complete up to `provenAt` includes this VM's last write, answered
// at `writtenAt`, and all writes of earlier holders, before the duty was acquired at `acquiredAt`.
bool showsAllWrites(BootInstant provenAt, BootInstant writtenAt, BootInstant acquiredAt);

} // namespace gentianplank
