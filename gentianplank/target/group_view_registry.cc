#include "gentianplank/target/group_view_registry.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace gentianplank {

namespace {

struct Entry
{
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    std::shared_ptr<const GroupView> view;
};

} // namespace

struct GroupViewRegistry::State
{
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<Entry>, std::less<>> entries;

    std::shared_ptr<Entry> entryOf(std::string_view group)
    {
        const std::lock_guard lock(mutex);
        const auto it = entries.find(group);
        if (it != entries.end()) {
            return it->second;
        }
        return entries.emplace(std::string(group), std::make_shared<Entry>()).first->second;
    }
};

GroupViewRegistry::GroupViewRegistry()
    : m_state(std::make_unique<State>())
{}

GroupViewRegistry::~GroupViewRegistry() = default;

void GroupViewRegistry::publish(std::shared_ptr<const GroupView> view)
{
    const std::shared_ptr<Entry> entry = m_state->entryOf(view->group);
    {
        const std::lock_guard lock(entry->mutex);
        entry->view = std::move(view);
    }
    entry->changed.notify_all();
}

std::shared_ptr<const GroupView> GroupViewRegistry::view(std::string_view group) const
{
    const std::shared_ptr<Entry> entry = m_state->entryOf(group);
    const std::lock_guard lock(entry->mutex);
    return entry->view;
}

std::shared_ptr<const GroupView>
GroupViewRegistry::waitForChange(std::string_view group,
                                 const std::shared_ptr<const GroupView> &seen, Instant until) const
{
    const std::shared_ptr<Entry> entry = m_state->entryOf(group);
    std::unique_lock lock(entry->mutex);
    entry->changed.wait_until(lock, until, [&] { return entry->view != seen; });
    return entry->view;
}

} // namespace gentianplank
