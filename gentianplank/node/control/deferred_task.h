// A task that is scheduled by several callers and runs once for all of them: later, or at once
// where something else must come after it.
//
//     DeferredTask publication(post, [this] { publish(); });
//     publication.schedule();
//     publication.flush(); // What is sent from here on finds the new view.
#pragma once

#include <functional>
#include <memory>

namespace gentianplank {

// Not thread-safe.
class DeferredTask
{
public:
    using PostFunction = std::function<void(std::function<void()>)>;

    // `post` runs the given function after the current handler has returned.
    DeferredTask(PostFunction post, std::function<void()> task);

    // Schedules the task unless it is scheduled already.
    void schedule();

    // Runs the task now if it was scheduled and has not run since.
    void flush();

private:
    PostFunction m_post;
    std::function<void()> m_task;
    // Also tells a posted call, by a weak pointer, whether this object still exists.
    std::shared_ptr<bool> m_isPending = std::make_shared<bool>(false);
    bool m_isPosted = false;
};

} // namespace gentianplank
