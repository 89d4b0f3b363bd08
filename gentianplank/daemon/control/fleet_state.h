// The state that the control thread publishes to traffic threads: the configuration in force, the
// member list, and the expiry of this VM's membership lease.
//
//     auto view = fleetState.configuration.get();
//     auto vms = fleetState.vms.get();
#pragma once

#include "gentianplank/base/time.h"
#include "gentianplank/configuration/view.h"
#include "gentianplank/vm/permissions.h"
#include "gentianplank/vm/vm_directory.h"

#include <atomic>
#include <memory>

namespace gentianplank {

// An immutable value that is replaced as a whole. Thread-safe.
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

// The expiry of this VM's membership lease. Check it at each use: a result that was kept may have
// expired. Thread-safe.
class PublishedLease
{
public:
    void extendTo(Instant until);
    void end();
    bool isValid(Instant now) const;

private:
    std::atomic<Duration::rep> m_until{0};
};

struct FleetState
{
    FleetState();

    Published<ConfigurationView> configuration;
    Published<VmDirectory> vms;
    PublishedLease membershipLease;
    // When this VM wrote the fleet's first member list, taken before the write; 0 if another VM
    // wrote it.
    std::atomic<Duration::rep> foundedAt{0};
    // The revision of the newest member list that a majority is known to have applied.
    std::atomic<uint64_t> acceptedMembers{0};
    // The latest membership state, for reports and messages only. Whether the VM may act is decided
    // by `membershipLease` at each use.
    std::atomic<VmState> state{VmState::Joining};
    // Set at shutdown: the VM accepts no new requests.
    std::atomic<bool> leaving{false};
};

} // namespace gentianplank
