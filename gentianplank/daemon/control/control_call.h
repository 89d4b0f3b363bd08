// Runs a function on the control thread and waits for its result.
//
//     auto reply = callOnControlThread(
//         loop, [state, request] { return state->handle(request); }, timeout);
#pragma once

#include "gentianplank/daemon/control/control_loop.h"

#include <future>
#include <memory>
#include <optional>

namespace gentianplank {

// Returns the result of `call`, or nothing when the timeout elapsed or the control thread has
// stopped. `call` may still run after the timeout, so it must own what it uses. Must not be called
// on the control thread, which would wait for itself.
template <typename Call>
auto callOnControlThread(ControlLoop &loop, Call call, Duration timeout)
    -> std::optional<decltype(call())>
{
    auto promise = std::make_shared<std::promise<decltype(call())>>();
    auto future = promise->get_future();
    loop.post([promise, call = std::move(call)] { promise->set_value(call()); });
    promise.reset();
    if (future.wait_for(timeout) != std::future_status::ready) {
        return std::nullopt;
    }
    try {
        return future.get();
    } catch (const std::future_error &) {
        // The control thread has stopped and dropped the task.
        return std::nullopt;
    }
}

} // namespace gentianplank
