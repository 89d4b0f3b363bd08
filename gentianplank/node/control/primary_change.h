// Names another primary for a group: step by step, by the holder of the duty.
//
// 1. Store a record that is changing. 2. Wait until every VM has given the old primary up, or its
// right has lapsed. 3. Take the replica that holds most; in an orderly change, all that the old
// primary holds. 4. Have the platform promote it. 5. See it lead. 6. Store a record that serves.
// A change that another holder began is taken up at step 2.
#pragma once

#include "gentianplank/node/control/member_probe.h"
#include "gentianplank/node/traffic/fleet_view.h"
#include "gentianplank/platform/promotion_call.h"
#include "gentianplank/store/row_store.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace gentianplank {

// What a change needs of the control thread.
struct PrimaryChangeEnvironment
{
    std::function<std::shared_ptr<const FleetView>()> view;
    std::function<void(Duration delay, std::function<void()> task)> schedule;
    std::function<void(const MemberEntry &, std::function<void(MemberProbe)>)> probe;
    std::function<void(const MemberEntry &, uint64_t term)> demote;
    // Asks every VM to give the group's primary up.
    std::function<void(const std::string &group, uint64_t epoch, bool isOrderly)> notify;
    // Stores a record over the row with `version`; the result is the new version.
    std::function<void(const GroupRecord &, uint64_t version,
                       std::function<void(RowResult<uint64_t>)>)>
        store;
    // Promotes, if this VM holds the duty and the group's row has `version` by a proof made just
    // before.
    std::function<void(const std::string &group, uint64_t version, const std::string &member,
                       std::function<void(platform::PromotionAnswer, std::string)>)>
        promote;
};

// Why a primary is replaced.
enum class ChangeCause {
    // It still serves, and nothing that it holds may be lost.
    Leaving,
    // VMs of all zones just failed to reach it; nobody waits for its answer again.
    Unreachable,
    // It is gone or started anew, or a change was left unfinished.
    Other,
};

// Not thread-safe. Lives until `onEnd` was called.
class PrimaryChange : public std::enable_shared_from_this<PrimaryChange>
{
public:
    // `record` is the stored record with its row's version: one that serves, to be replaced, or
    // one that is changing already.
    PrimaryChange(PrimaryChangeEnvironment environment, GroupRecord record, uint64_t version,
                  std::string ownName, std::function<void(bool succeeded)> onEnd);
    ~PrimaryChange();

    void start(ChangeCause cause, const std::string &reason);

    // A VM has given the primary up for epochs below `epoch`.
    void released(const std::string &vm, uint64_t epoch);

    // Ends it without success, at the stored step; whoever holds the duty takes it up from there.
    void abandon(const std::string &reason);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
