// The control thread of an entry VM: follows the store, tells the traffic thread what holds, and
// holds the duty to name primaries when it falls to this VM.
//
//     Control control(settings, incarnation, traffic);
//     control.start();
#pragma once

#include "gentianplank/node/traffic/traffic.h"
#include "gentianplank/settings/entry_vm_settings.h"

#include <functional>
#include <memory>

namespace gentianplank {

// The public functions are thread-safe unless they say otherwise.
class Control
{
public:
    Control(EntryVmSettings settings, uint64_t incarnation);
    ~Control();

    // The calls for the traffic thread's handler.
    void handleSuspicion(const std::string &group, const std::string &member);
    void handleRequest(const peer::v1::Frame &frame,
                       std::function<void(const peer::v1::Frame &)> reply);
    void handleReply(const std::string &vm, const peer::v1::Frame &frame);
    void handlePeerLost(const std::string &vm);

    // Starts the thread. `traffic` must outlive this object and be started.
    void start(Traffic &traffic);

    // Hands the duty over and stops the traffic thread's work.
    void leave();

    // Tells the fleet that this VM takes no new work.
    void handOver();

    // Ends the thread.
    void join();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
