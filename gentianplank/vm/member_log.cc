#include "gentianplank/vm/member_log.h"

#include "gentianplank/base/rendezvous.h"

#include <charconv>

namespace gentianplank {

namespace {

constexpr std::string_view HeadKey = "configuration/head";

uint64_t parseRevision(std::string_view value)
{
    uint64_t revision = 0;
    std::from_chars(value.data(), value.data() + value.size(), revision);
    return revision;
}

} // namespace

std::string membersKey(uint32_t partition)
{
    return "cells/" + std::to_string(partition) + "/members";
}

uint32_t choosePartition(std::string_view vm, std::span<const size_t> sizes)
{
    std::vector<std::string> candidates;
    for (size_t i = 0; i < sizes.size(); ++i) {
        if (sizes[i] < PartitionSizeLimit) {
            candidates.push_back(std::to_string(i));
        }
    }
    if (candidates.empty()) {
        return static_cast<uint32_t>(sizes.size());
    }
    const std::string picked = pickByRendezvous("cell/" + std::string(vm), candidates);
    return static_cast<uint32_t>(parseRevision(picked));
}

VmDirectory fromWire(const vm::v1::MemberList &wire, uint64_t revision)
{
    VmDirectory list;
    list.revision = revision;
    list.configurationFloor = wire.configuration_floor();
    list.predecessorSize = wire.predecessor_size();
    for (const vm::v1::VmRecord &it : wire.vms()) {
        VmInfo vm;
        vm.name = it.incarnation().vm();
        vm.incarnation = it.incarnation().number();
        vm.address = it.address();
        vm.place = {it.zone(), it.region()};
        vm.leaving = it.leaving();
        list.vms.push_back(std::move(vm));
    }
    return list;
}

vm::v1::MemberList toWire(const VmDirectory &list)
{
    vm::v1::MemberList wire;
    wire.set_configuration_floor(list.configurationFloor);
    wire.set_predecessor_size(static_cast<uint32_t>(list.predecessorSize));
    for (const VmInfo &it : list.vms) {
        vm::v1::VmRecord *record = wire.add_vms();
        record->mutable_incarnation()->set_vm(it.name);
        record->mutable_incarnation()->set_number(it.incarnation);
        record->set_address(it.address);
        record->set_zone(it.place.zone);
        record->set_region(it.place.region);
        record->set_leaving(it.leaving);
    }
    return wire;
}

MemberLog::MemberLog(TableStore &store, uint32_t partition)
    : m_store(store)
    , m_key(membersKey(partition))
{}

tl::expected<StoredMembers, StoreError> MemberLog::read(Duration timeout)
{
    const auto row = m_store.read(m_key, timeout);
    if (!row) {
        return tl::unexpected(row.error());
    }
    const auto head = m_store.read(HeadKey, timeout);
    if (!head) {
        return tl::unexpected(head.error());
    }
    vm::v1::MemberList wire;
    if (!wire.ParseFromString(row->value)) {
        return tl::unexpected(StoreError::Unavailable);
    }
    return StoredMembers{fromWire(wire, row->revision), parseRevision(head->value), head->revision};
}

MemberWriteOutcome MemberLog::write(const StoredMembers &current, const VmDirectory &next,
                                    std::string_view writeId, Duration timeout)
{
    VmDirectory list = next;
    list.configurationFloor = current.configurationHead;
    list.predecessorSize = current.list.vms.size();
    vm::v1::MemberList wire = toWire(list);
    wire.set_write_id(std::string(writeId));
    const std::string value = wire.SerializeAsString();
    TableTransaction transaction;
    transaction.conditions.push_back({m_key, current.list.revision});
    transaction.conditions.push_back({std::string(HeadKey), current.headRowRevision});
    transaction.writes.push_back({m_key, value});
    const auto result = m_store.transact(transaction, timeout);
    if (result) {
        return result->committed ? MemberWriteOutcome::Written : MemberWriteOutcome::Conflict;
    }
    if (result.error() == StoreError::Unavailable) {
        return MemberWriteOutcome::Unavailable;
    }
    const auto row = m_store.read(m_key, timeout);
    if (!row) {
        return MemberWriteOutcome::OutcomeUnknown;
    }
    if (row->revision == current.list.revision) {
        // The write may still reach the store.
        return MemberWriteOutcome::OutcomeUnknown;
    }
    return row->value == value ? MemberWriteOutcome::Written : MemberWriteOutcome::Conflict;
}

} // namespace gentianplank
