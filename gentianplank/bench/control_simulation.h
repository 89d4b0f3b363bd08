// Simulates the control decisions of a fleet on a virtual clock: membership leases, acceptance of
// changes and propagation of the configuration. Runs the daemon's logic over a fake store and
// simulated calls between VMs.
//
//     ControlSimulation fleet(options.fleet, ControlPolicy::Full, options.seed);
//     fleet.run(std::chrono::seconds(5));
//     fleet.change(vm);
//     if (fleet.serves(vm)) { ... }
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/bench/fleet_shape.h"

#include <cstdint>
#include <memory>

namespace gentianplank {

enum class ControlPolicy {
    // The daemon's policy.
    Full,
    // Naive: every VM polls the store and serves without checking its membership lease.
    PollingOnly,
    // Naive: every VM polls the store and serves only while its lease is valid. Only the store
    // renews a lease.
    StoreLeases,
};

// Not thread-safe. The same seed gives the same run.
class ControlSimulation
{
public:
    ControlSimulation(const FleetShape &shape, ControlPolicy policy, uint64_t seed);
    ~ControlSimulation();

    size_t vmCount() const;

    // Advances the virtual clock by `span`.
    void run(Duration span);
    // Virtual time since the start.
    Duration now() const;

    void setStoreDown(bool down);
    // Starts or stops dropping all messages between a VM and the store, or the other VMs.
    void setCutFromStore(size_t vm, bool cut);
    void setCutFromPeers(size_t vm, bool cut);
    // Sets the probability, in percent, that a message is lost.
    void setLossPercent(uint64_t percent);

    // Stores a change through a VM. Returns its revision, or 0 if the change can't be stored.
    uint64_t change(size_t vm);

    // The time that a VM needs to store a change. change() stores it at the current virtual time,
    // so the operator's request counts as sent this long before.
    Duration storeDelay(size_t vm) const;

    // When the VM that stored a revision learned that it was accepted; zero until then.
    Duration acceptedAt(uint64_t revision) const;

    // Whether the VM serves callers' requests now.
    bool serves(size_t vm) const;
    // The configuration revision that the VM has applied.
    uint64_t revisionOf(size_t vm) const;

    // How many times a VM replaced its revision by an older one.
    uint64_t reverted() const;

    // Reads and transactions of the store so far.
    uint64_t storeReads() const;
    uint64_t storeWrites() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
