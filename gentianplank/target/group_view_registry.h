// Publishes group views from the control thread to the traffic threads.
//
//     registry.publish(std::make_shared<const GroupView>(view));
//     auto view = registry.view("ledger-1");
//     registry.waitForChange("ledger-1", view, deadline);
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

    // Replaces the view of view->group and wakes the threads that wait for a change of it.
    void publish(std::shared_ptr<const GroupView> view);

    // Returns the latest view, or nullptr for an unknown group.
    std::shared_ptr<const GroupView> view(std::string_view group) const;

    // Waits until the group's view differs from `seen`, at most until `until`. Returns the latest
    // view.
    std::shared_ptr<const GroupView> waitForChange(std::string_view group,
                                                   const std::shared_ptr<const GroupView> &seen,
                                                   Instant until) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
