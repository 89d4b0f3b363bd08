#include "gentianplank/store/row_store.h"

#include <algorithm>

namespace gentianplank {

std::optional<uint64_t> conditionEra(const RowTransaction &transaction)
{
    std::optional<uint64_t> era;
    for (const RowCondition &it : transaction.conditions) {
        if (!isAbsent(it.version)) {
            era = std::min(era.value_or(it.version.era), it.version.era);
        }
    }
    return era;
}

RowResult<RowSet> asContinuation(RowResult<RowSet> changes, const StoreVersion &after)
{
    if (!changes || changes->version.era == after.era ||
        (changes->carriesOverOtherRows && changes->version.era > after.era)) {
        return changes;
    }
    return tl::make_unexpected(RowError{RowFault::HistoryGone,
                                        "the store is in era " +
                                            std::to_string(changes->version.era) +
                                            " and has no changes after version " + toString(after),
                                        {}});
}

} // namespace gentianplank
