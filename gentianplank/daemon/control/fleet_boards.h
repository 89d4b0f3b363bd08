// What the control thread publishes for traffic threads: the configuration in force, the VMs, and
// until when this VM has standing.
//
//     auto view = boards.configuration.get();
//     if (!boards.standing.holds(steadyNow())) { ... }
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/configuration/view.h"
#include "gentianplank/vm/permissions.h"
#include "gentianplank/vm/vm_directory.h"

#include <atomic>
#include <memory>

namespace gentianplank {

// The latest value of something immutable. Thread-safe.
template <typename Value>
class Published
{
public:
    explicit Published(std::shared_ptr<const Value> initial)
        : m_value(std::move(initial))
    {}

    std::shared_ptr<const Value> get() const { return std::atomic_load(&m_value); }
    void set(std::shared_ptr<const Value> value) { std::atomic_store(&m_value, std::move(value)); }

private:
    std::shared_ptr<const Value> m_value;
};

// Until when this VM has standing; read at the moment of use. Thread-safe.
class StandingGate
{
public:
    void extendTo(Instant until);
    void end();
    bool holds(Instant now) const;

private:
    std::atomic<Duration::rep> m_until{0};
};

struct FleetBoards
{
    FleetBoards();

    Published<ConfigurationView> configuration;
    Published<VmDirectory> vms;
    StandingGate standing;
    // When this VM wrote the fleet's first member list, from before the write; 0 if it did not.
    std::atomic<Duration::rep> foundedAt{0};
    // The revision of the newest member list that a majority is known to have applied.
    std::atomic<uint64_t> acceptedMembers{0};
    // The latest state of the membership, for what people read. Whether the VM may act is asked
    // of `standing` at the moment of use.
    std::atomic<VmState> state{VmState::Joining};
    // Set when the VM shuts down: no new requests.
    std::atomic<bool> leaving{false};
};

} // namespace gentianplank
