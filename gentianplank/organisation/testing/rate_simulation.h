// Simulates VMs that share one organisation's rate. Runs the real rate owners and quota clients,
// and connects them by messages that a test can delay, lose and duplicate. No other part of a VM is
// simulated.
//
//     RateSimulation fleet({50, 20}, 7, options, seed);
//     fleet.arrive(2);                        // a statement at VM 2
//     fleet.advance(std::chrono::milliseconds(5));
//     fleet.kill(0);
#pragma once

#include "gentianplank/organisation/quota_client.h"
#include "gentianplank/organisation/rate_owner.h"

#include <deque>
#include <functional>
#include <random>
#include <vector>

namespace gentianplank {

// Probabilities are per mille.
struct RateSimulationOptions
{
    std::string organisation = "dredge-co";
    int lossPerMille = 0;
    int duplicatePerMille = 0;
    int latePerMille = 0;
    Duration latency = std::chrono::milliseconds(1);
    // Latency from one VM to another, in addition to `latency`.
    std::function<Duration(size_t from, size_t to)> distance;
    Duration jitter = std::chrono::milliseconds(1);
    Duration longestLateness = std::chrono::seconds(4);
    // VM i's clock runs fast by the fraction drift[i % size].
    std::vector<double> drift{0};
    // How long a failed VM stays in the member list while the store is up.
    Duration expulsion = std::chrono::seconds(5);
};

class RateSimulation
{
public:
    RateSimulation(RateLimit limit, size_t vms, RateSimulationOptions options, uint64_t seed);
    ~RateSimulation();

    // A statement arrives at a VM. It waits for as long as the quota client allows. Ignored if the
    // VM is not up.
    void arrive(size_t vm);

    void advance(Duration step);

    // Stops the VM at once. The member list drops it later, unless the store is down.
    void kill(size_t vm);

    // Starts a failed or new VM with a new incarnation and adds it to the member list. Ignored if
    // it is up or the store is down.
    void join(size_t vm);

    // Suspends the VM for `duration`: it neither receives, sends nor runs.
    void pause(size_t vm, Duration duration);

    void setStoreDown(bool down);

    // Returns true if `from` can't reach `to`.
    std::function<bool(size_t from, size_t to)> isPartitioned;

    bool isUp(size_t vm) const;
    const QuotaClient &client(size_t vm) const;
    const RateOwner &owner(size_t vm) const;
    Instant now() const;

    // Called for each admitted statement with the simulated times of its arrival and admission, and
    // for each refused one.
    std::function<void(Instant arrived, Instant admitted)> onAdmitted;
    std::function<void(Instant arrived)> onRefused;

    // Messages sent so far, including replies.
    uint64_t messages() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
