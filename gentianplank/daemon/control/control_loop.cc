#include "gentianplank/daemon/control/control_loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>

#include <thread>

namespace gentianplank {

namespace {

constexpr size_t WorkerCount = 16;

} // namespace

struct ControlLoop::State
{
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{
        context.get_executor()};
    boost::asio::thread_pool workers{WorkerCount};
    std::thread thread;

    void repeat(const std::shared_ptr<boost::asio::steady_timer> &timer, Duration interval,
                const std::shared_ptr<Task> &task)
    {
        (*task)();
        timer->expires_after(interval);
        timer->async_wait([this, timer, interval, task](const boost::system::error_code &ec) {
            if (!ec) {
                repeat(timer, interval, task);
            }
        });
    }
};

ControlLoop::ControlLoop()
    : m_state(std::make_unique<State>())
{}

ControlLoop::~ControlLoop()
{
    stop();
}

void ControlLoop::post(Task task)
{
    boost::asio::post(m_state->context, std::move(task));
}

void ControlLoop::after(Duration delay, Task task)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_state->context);
    timer->expires_after(delay);
    timer->async_wait([timer, task = std::move(task)](const boost::system::error_code &ec) {
        if (!ec) {
            task();
        }
    });
}

void ControlLoop::every(Duration interval, Task task)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_state->context);
    auto shared = std::make_shared<Task>(std::move(task));
    post([this, timer, interval, shared] { m_state->repeat(timer, interval, shared); });
}

void ControlLoop::runBlocking(Task task)
{
    boost::asio::post(m_state->workers, std::move(task));
}

void ControlLoop::start()
{
    m_state->thread = std::thread([this] { m_state->context.run(); });
}

void ControlLoop::stop()
{
    m_state->context.stop();
    if (m_state->thread.joinable()) {
        m_state->thread.join();
    }
    m_state->workers.join();
}

} // namespace gentianplank
