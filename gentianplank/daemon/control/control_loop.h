// The event loop of the control thread, the only thread that accesses control state. Other threads
// post tasks to it. Blocking calls run on a worker pool, and their results are posted back.
//
//     ControlLoop loop;
//     loop.every(std::chrono::milliseconds(500), [&] { poll(); });
//     loop.callBlocking([] { return store.read(...); }, [](auto row) { ...control thread... });
//     loop.start();
#pragma once

#include "gentianplank/base/time.h"

#include <functional>
#include <memory>
#include <utility>

namespace gentianplank {

// Thread-safe, except for start() and stop(), which the owner calls. The destructor calls stop().
class ControlLoop
{
public:
    using Task = std::function<void()>;

    ControlLoop();
    ~ControlLoop();

    // Runs a task on the control thread, in the order of posting.
    void post(Task task);

    // Runs a task on the control thread once `delay` has elapsed.
    void after(Duration delay, Task task);

    // Runs a task on the control thread at once, then repeatedly, `interval` after the end of each
    // run.
    void every(Duration interval, Task task);

    // Runs a task, which may block, on a worker.
    void runBlocking(Task task);

    // Runs `call` on a worker and `then` with its result on the control thread.
    template <typename Call, typename Then>
    void callBlocking(Call call, Then then)
    {
        runBlocking([this, call = std::move(call), then = std::move(then)]() mutable {
            auto result = std::make_shared<decltype(call())>(call());
            post([then = std::move(then), result]() mutable { then(std::move(*result)); });
        });
    }

    void start();

    // Ends the control thread and drops the tasks that it hasn't run, then waits for the workers'
    // tasks.
    void stop();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
