// The committed member list of a cell in the platform's table service: one row, which changes by
// one VM at a time.
//
//     MemberLog log(store, 0);
//     auto list = log.read(timeout);
//     auto outcome = log.write(*list, withVm(*list, self), timeout);
#pragma once

#include "gentianplank/proto/vm.pb.h"
#include "gentianplank/store/table_store.h"
#include "gentianplank/vm/vm_directory.h"

#include <span>
#include <string>
#include <string_view>

namespace gentianplank {

// The most VMs of one cell. Every VM of a cell exchanges heartbeats with every other.
inline constexpr size_t CellSizeLimit = 15;

// Returns the key of a cell's list.
std::string membersKey(uint32_t cell);

// Returns the cell that a joining VM goes to: by rendezvous hash among those with room, or a new
// one. `sizes` holds the number of VMs of each cell. Deterministic.
uint32_t chooseCell(std::string_view vm, std::span<const size_t> sizes);

// What the store holds: the list, and the newest configuration revision, read after the list.
struct StoredMembers
{
    VmDirectory list;
    uint64_t configurationHead = 0;
    uint64_t headRowRevision = 0;
};

enum class MemberWriteOutcome {
    Written,
    // Another list or configuration was stored first: read again.
    Conflict,
    Unavailable,
    OutcomeUnknown,
};

VmDirectory fromWire(const vm::v1::MemberList &wire, uint64_t revision);
vm::v1::MemberList toWire(const VmDirectory &list);

// Thread-safe when the store is.
class MemberLog
{
public:
    MemberLog(TableStore &store, uint32_t cell);

    tl::expected<StoredMembers, StoreError> read(Duration timeout);

    // Replaces the list that was read. A lost answer is resolved by reading back; `writeId` must
    // be unique. The caller must know that the list that was read is accepted (isListAccepted).
    MemberWriteOutcome write(const StoredMembers &present, const VmDirectory &next,
                             std::string_view writeId, Duration timeout);

private:
    TableStore &m_store;
    std::string m_key;
};

} // namespace gentianplank
