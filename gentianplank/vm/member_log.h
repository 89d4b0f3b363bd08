// The committed member list of a membership partition, kept in the platform's table service as one
// row. The list changes by one VM at a time.
//
//     MemberLog log(store, 0);
//     auto stored = log.read(timeout);
//     auto outcome = log.write(*stored, withVm(stored->list, self), writeId, timeout);
#pragma once

#include "gentianplank/proto/vm.pb.h"
#include "gentianplank/store/table_store.h"
#include "gentianplank/vm/vm_directory.h"

#include <span>
#include <string>
#include <string_view>

namespace gentianplank {

// The maximum number of VMs in a membership partition. Each VM exchanges heartbeats with every
// other VM of its partition.
inline constexpr size_t PartitionSizeLimit = 15;

// Returns the key of the row that holds a partition's list.
std::string membersKey(uint32_t partition);

// Returns the partition that a joining VM is assigned to: by rendezvous hashing among those below
// the limit, or else a new one. `sizes` holds the number of VMs of each partition. Deterministic.
uint32_t choosePartition(std::string_view vm, std::span<const size_t> sizes);

// The stored list, and the newest configuration revision, which was read after the list.
struct StoredMembers
{
    VmDirectory list;
    uint64_t configurationHead = 0;
    // The revision of the row that holds configurationHead.
    uint64_t headRowRevision = 0;
};

enum class MemberWriteOutcome {
    Written,
    // Another list or configuration was stored first; read again.
    Conflict,
    Unavailable,
    OutcomeUnknown,
};

VmDirectory fromWire(const vm::v1::MemberList &wire, uint64_t revision);
vm::v1::MemberList toWire(const VmDirectory &list);

// Thread-safe if the store is. Calls block.
class MemberLog
{
public:
    MemberLog(TableStore &store, uint32_t partition);

    // Fails with Unavailable also if the stored list can't be parsed.
    tl::expected<StoredMembers, StoreError> read(Duration timeout);

    // Replaces `current`, the list that was read, with `next`. If the answer to the write is lost,
    // the row is read back to determine the outcome; `writeId` must therefore be unique. The caller
    // must know that `current` is accepted (isListAccepted).
    MemberWriteOutcome write(const StoredMembers &current, const VmDirectory &next,
                             std::string_view writeId, Duration timeout);

private:
    TableStore &m_store;
    std::string m_key;
};

} // namespace gentianplank
