#include "gentianplank/node/control/duty_writes.h"

#include "gentianplank/vm/fleet_records.h"

#include <algorithm>
#include <optional>

namespace gentianplank {

namespace {

RowCondition dutyCondition(const StoreVersion &dutyVersion)
{
    return {FleetTable, PromotionDutyKey, dutyVersion};
}

std::optional<StoreVersion> versionOf(const RowSet &set, std::string_view key)
{
    const auto it = std::find_if(set.rows.begin(), set.rows.end(),
                                 [key](const StoredRow &row) { return row.key == key; });
    return it == set.rows.end() ? std::nullopt : std::optional<StoreVersion>(it->version);
}

} // namespace

RowTransaction groupRecordWrite(const GroupRecord &record, const StoreVersion &version,
                                const StoreVersion &dutyVersion)
{
    const std::string key = std::string(GroupKeyPrefix) + record.group;
    RowTransaction transaction;
    transaction.conditions.push_back(dutyCondition(dutyVersion));
    transaction.conditions.push_back({FleetTable, key, version});
    transaction.writes.push_back({FleetTable, key, encodeGroupRecord(record), {}, false});
    return transaction;
}

RowTransaction vmRowErasure(std::string_view vm, const StoreVersion &version,
                            const StoreVersion &dutyVersion)
{
    const std::string key = std::string(VmKeyPrefix) + std::string(vm);
    RowTransaction transaction;
    transaction.conditions.push_back(dutyCondition(dutyVersion));
    transaction.conditions.push_back({FleetTable, key, version});
    transaction.erasures.push_back({FleetTable, key, version});
    return transaction;
}

bool allowsPromotion(const RowSet &read, const StoreVersion &dutyVersion, std::string_view group,
                     const StoreVersion &version)
{
    if (versionOf(read, PromotionDutyKey) != dutyVersion) {
        return false;
    }
    const auto stored = versionOf(read, std::string(GroupKeyPrefix) + std::string(group));
    return stored ? *stored == version : read.hasMore;
}

bool showsAllWrites(BootInstant provenAt, BootInstant writtenAt, BootInstant acquiredAt)
{
    return provenAt > std::max(writtenAt, acquiredAt);
}

} // namespace gentianplank
