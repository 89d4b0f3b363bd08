// A task that several reasons may ask for and that runs once for all of them: soon, or at once
// where something else must come after it.
//
//     DeferredTask publication(post, [this] { publish(); });
//     publication.soon();
//     publication.flush(); // What is sent from here on finds the new view.
#pragma once

#include <functional>
#include <memory>

namespace gentianplank {

// Not thread-safe.
class DeferredTask
{
public:
    using Poster = std::function<void(std::function<void()>)>;

    // `post` runs what it is given after the present handler has returned.
    DeferredTask(Poster post, std::function<void()> task);

    // Runs the task soon, once however often this is called before.
    void soon();

    // Runs the task now if soon() asked for it and it has not run since.
    void flush();

private:
    Poster m_post;
    std::function<void()> m_task;
    // Posted calls look whether the object is still there.
    std::shared_ptr<bool> m_isWanted = std::make_shared<bool>(false);
    bool m_isPosted = false;
};

} // namespace gentianplank
