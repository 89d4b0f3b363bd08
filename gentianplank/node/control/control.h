// The control thread of an entry VM: follows the store's tables, publishes the resulting view to
// the traffic thread, and acquires the promotion duty when it falls to this VM.
//
//     Control control(settings, incarnation);
//     control.start(traffic);
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

    // Callbacks for the traffic thread's handler. They post to the control thread and return at
    // once.
    void handleSuspicion(const std::string &group, const std::string &member);
    void handleFailingPrimary(const std::string &group, const std::string &member,
                              const Evidence &evidence);
    void handleRequest(const peer::v1::Frame &frame,
                       std::function<void(const peer::v1::Frame &)> reply);
    void handleReply(const std::string &vm, const peer::v1::Frame &frame);
    void handlePeerLost(const std::string &vm);

    // Starts the thread. `traffic` must be started already and outlive this object.
    void start(Traffic &traffic);

    // Begins to shut down: peers that follow this VM are told to use another relay, the duty is no
    // longer acquired, and the traffic thread is told to stop.
    void leave();

    // Stores this VM's row as leaving and stops supervising VMs and groups.
    void handOver();

    // Ends the thread and rejects the requests of peers that still wait for table updates.
    void join();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
