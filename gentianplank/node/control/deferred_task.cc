#include "gentianplank/node/control/deferred_task.h"

#include <utility>

namespace gentianplank {

DeferredTask::DeferredTask(PostFunction post, std::function<void()> task)
    : m_post(std::move(post))
    , m_task(std::move(task))
{}

void DeferredTask::schedule()
{
    *m_isPending = true;
    if (m_isPosted) {
        return;
    }
    m_isPosted = true;
    m_post([this, alive = std::weak_ptr<bool>(m_isPending)] {
        if (alive.lock()) {
            m_isPosted = false;
            flush();
        }
    });
}

void DeferredTask::flush()
{
    if (std::exchange(*m_isPending, false)) {
        m_task();
    }
}

} // namespace gentianplank
