#include "gentianplank/target/group_view_registry.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace gentianplank {

namespace {

struct Slot
{
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    std::shared_ptr<const GroupView> view;
};

} // namespace

struct GroupViewRegistry::State
{
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<Slot>, std::less<>> slots;

    std::shared_ptr<Slot> slotOf(std::string_view group)
    {
        const std::lock_guard lock(mutex);
        const auto it = slots.find(group);
        if (it != slots.end()) {
            return it->second;
        }
        return slots.emplace(std::string(group), std::make_shared<Slot>()).first->second;
    }
};

GroupViewRegistry::GroupViewRegistry()
    : m_state(std::make_unique<State>())
{}

GroupViewRegistry::~GroupViewRegistry() = default;

void GroupViewRegistry::publish(std::shared_ptr<const GroupView> view)
{
    const std::shared_ptr<Slot> slot = m_state->slotOf(view->group);
    {
        const std::lock_guard lock(slot->mutex);
        slot->view = std::move(view);
    }
    slot->changed.notify_all();
}

std::shared_ptr<const GroupView> GroupViewRegistry::view(std::string_view group) const
{
    const std::shared_ptr<Slot> slot = m_state->slotOf(group);
    const std::lock_guard lock(slot->mutex);
    return slot->view;
}

std::shared_ptr<const GroupView>
GroupViewRegistry::waitForChange(std::string_view group,
                                 const std::shared_ptr<const GroupView> &seen, Instant until) const
{
    const std::shared_ptr<Slot> slot = m_state->slotOf(group);
    std::unique_lock lock(slot->mutex);
    slot->changed.wait_until(lock, until, [&] { return slot->view != seen; });
    return slot->view;
}

} // namespace gentianplank
