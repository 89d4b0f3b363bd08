// Replaces the primary of a group. Run by the holder of the promotion duty, in these steps:
//
// 1. Store a record in the changing phase.
// 2. Wait until every VM has released the old primary, or its lease has expired.
// 3. Select the replica with the newest position. While the old primary answers, wait a limited
//    time for a replica that has everything the old primary has.
// 4. Store a record that lists it as promoted.
// 5. Have the platform promote it.
// 6. Wait until it is primary.
// 7. Store a record in the serving phase.
//
// A change that another holder began is continued at step 2. The stored record tells which members
// may have been promoted by then.
#pragma once

#include "gentianplank/node/control/member_probe.h"
#include "gentianplank/node/traffic/fleet_view.h"
#include "gentianplank/platform/promotion_request.h"
#include "gentianplank/store/row_store.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace gentianplank {

// What a change needs of the control thread.
struct PrimaryChangeEnvironment
{
    // The store's era in which the duty is held.
    uint64_t era = 0;
    std::function<std::shared_ptr<const FleetView>()> view;
    std::function<void(Duration delay, std::function<void()> task)> schedule;
    std::function<void(const MemberEntry &, std::function<void(MemberProbe)>)> probe;
    std::function<void(const MemberEntry &, uint64_t term)> demote;
    // Tells every VM to release the group's primary.
    std::function<void(const std::string &group, uint64_t epoch, bool isOrderly)> notify;
    // Stores a record if its row still has `version`; the result is the new version. After an
    // error the record isn't stored later.
    std::function<void(const GroupRecord &, const StoreVersion &version,
                       std::function<void(RowResult<StoreVersion>)>)>
        store;
    // Promotes the member if it was proven just before that this VM holds the duty and that the
    // group's row has `version`: at `provenAt`, or else by a read.
    std::function<void(const std::string &group, const StoreVersion &version,
                       const std::string &member, BootInstant provenAt,
                       std::function<void(platform::PromotionReply, std::string)>)>
        promote;
};

// Why a primary is replaced.
enum class ChangeCause {
    // It still serves, and none of its data may be lost.
    Leaving,
    // VMs of all zones failed to reach it just now, so the change does not wait for its status
    // again.
    Unreachable,
    // The record is of an earlier era of the store, so it may lack a promotion since.
    Unconfirmed,
    // It is gone or was restarted, or an earlier change is unfinished.
    Other,
};

// Not thread-safe. Must be kept alive until `onEnd` was called.
class PrimaryChange : public std::enable_shared_from_this<PrimaryChange>
{
public:
    // `record` and `version` are the stored record and its row's version; the record is in the
    // serving phase or already in the changing phase.
    PrimaryChange(PrimaryChangeEnvironment environment, GroupRecord record, StoreVersion version,
                  std::string ownName, std::function<void(bool succeeded)> onEnd);
    ~PrimaryChange();

    void start(ChangeCause cause, const std::string &reason);

    // Records that a VM has released the primary for epochs below `epoch`.
    void handleReleased(const std::string &vm, uint64_t epoch);

    // Ends the change without success; the next holder of the duty continues it from the stored
    // record.
    void abandon(const std::string &reason);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
