#include "gentianplank/node/control/duty_writes.h"

#include "gentianplank/vm/fleet_records.h"

namespace gentianplank {

namespace {

RowCondition dutyIsHeld(uint64_t dutyVersion)
{
    return {FleetTable, PromotionDutyKey, dutyVersion};
}

} // namespace

RowTransaction groupRecordWrite(const GroupRecord &record, uint64_t version, uint64_t dutyVersion)
{
    const std::string key = std::string(GroupKeyPrefix) + record.group;
    RowTransaction transaction;
    transaction.conditions.push_back(dutyIsHeld(dutyVersion));
    transaction.conditions.push_back({FleetTable, key, version});
    transaction.writes.push_back({FleetTable, key, encodeGroupRecord(record), 0, false});
    return transaction;
}

RowTransaction vmRowErasure(std::string_view vm, uint64_t version, uint64_t dutyVersion)
{
    const std::string key = std::string(VmKeyPrefix) + std::string(vm);
    RowTransaction transaction;
    transaction.conditions.push_back(dutyIsHeld(dutyVersion));
    transaction.conditions.push_back({FleetTable, key, version});
    transaction.erasures.push_back({FleetTable, key, version});
    return transaction;
}

} // namespace gentianplank
