// Writes a row until the outcome of the write is known.
//
// The store may perform a write whose answer was lost seconds later, if its conditions still hold.
// Reading the row doesn't show that it won't. A write with the same conditions does: either it
// changes the row's version, so that the earlier write fails, or it fails and reports the row.
#pragma once

#include "gentianplank/store/row_store.h"

#include <functional>
#include <string>

namespace gentianplank {

struct SettledWrite
{
    // The row that is written, and its new value. The value must differ from all earlier ones.
    std::string key;
    std::string value;
    // Starts the write, always with the same conditions, among them the version of the row.
    std::function<void(std::function<void(RowResult<StoreVersion>)>)> attempt;
    std::function<void(Duration delay, std::function<void()> task)> schedule;
};

// Repeats the write while its outcome is unknown. `done` is called once, later, with the row's new
// version, or with an error after which the write is not performed any more. The fault is NotDone
// or ConditionFailed. Not thread-safe.
void writeUntilSettled(SettledWrite write, std::function<void(RowResult<StoreVersion>)> done);

} // namespace gentianplank
