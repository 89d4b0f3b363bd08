// Published group views: the control thread writes, traffic threads read and wait for changes.
//
//     board.publish(std::make_shared<const GroupView>(view));
//     auto view = board.view("ledger-1");
//     board.waitForChange("ledger-1", view, deadline);
#pragma once

#include "gentianplank/target/group_view.h"

#include <memory>
#include <string_view>

namespace gentianplank {

// Thread-safe.
class GroupViewRegistry
{
public:
    GroupViewRegistry();
    ~GroupViewRegistry();

    void publish(std::shared_ptr<const GroupView> view);

    // Returns the latest view, or nullptr for an unknown group.
    std::shared_ptr<const GroupView> view(std::string_view group) const;

    // Waits until the group's view is another one than `seen`, or until `until`. Returns the
    // latest view.
    std::shared_ptr<const GroupView> waitForChange(std::string_view group,
                                                   const std::shared_ptr<const GroupView> &seen,
                                                   Instant until) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
