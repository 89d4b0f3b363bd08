// Asks the control thread and waits for its answer.
//
//     auto reply = askControl(loop, [&] { return state.answer(request); }, timeout);
#pragma once

#include "gentianplank/daemon/control/control_loop.h"

#include <future>
#include <memory>
#include <optional>

namespace gentianplank {

// Runs `call` on the control thread; nothing when no answer came in time. `call` may run later
// still, so it must own what it uses. Not for the control thread itself.
template <typename Call>
auto askControl(ControlLoop &loop, Call call, Duration timeout) -> std::optional<decltype(call())>
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
        // The control thread has stopped.
        return std::nullopt;
    }
}

} // namespace gentianplank
