// The control thread: it alone owns control state. Other threads post tasks to it; calls that
// block run on its workers, which post their results back.
//
//     ControlLoop loop;
//     loop.every(std::chrono::milliseconds(500), [&] { poll(); });
//     loop.callBlocking([] { return store.read(...); }, [](auto row) { ...on control... });
//     loop.start();
#pragma once

#include "gentianplank/base/time.h"

#include <functional>
#include <memory>
#include <utility>

namespace gentianplank {

// All members are thread-safe but start() and stop(), which the owner calls once each.
class ControlLoop
{
public:
    using Task = std::function<void()>;

    ControlLoop();
    ~ControlLoop();

    // Runs a task on the control thread, in the order of posting.
    void post(Task task);

    // Runs a task on the control thread after a time.
    void after(Duration delay, Task task);

    // Runs a task on the control thread at once and then at every interval.
    void every(Duration interval, Task task);

    // Runs a task on a worker.
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

    // Ends the control thread and the workers; posted tasks that did not run are dropped.
    void stop();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
