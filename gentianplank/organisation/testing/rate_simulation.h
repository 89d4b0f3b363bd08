// A small model of VMs that share one organisation's rate: the real keepers and borrowers, joined
// by messages that a test delays, loses and repeats. Nothing else of a VM is modelled.
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

// Probabilities in 1/1000.
struct RateSimulationOptions
{
    std::string organisation = "dredge-co";
    int lossPerMille = 0;
    int duplicatePerMille = 0;
    int latePerMille = 0;
    Duration latency = std::chrono::milliseconds(1);
    // Added to the latency from one VM to another.
    std::function<Duration(size_t from, size_t to)> distance;
    Duration jitter = std::chrono::milliseconds(1);
    Duration longestLateness = std::chrono::seconds(4);
    // VM i's clock gains drift[i % size] of the time passed.
    std::vector<double> drift{0};
    // How long a VM that died stays in the member list while the store answers.
    Duration expulsion = std::chrono::seconds(5);
};

class RateSimulation
{
public:
    RateSimulation(RateLimit limit, size_t vms, RateSimulationOptions options, uint64_t seed);
    ~RateSimulation();

    // A statement arrives at a VM that is up; it waits as long as the borrower lets it.
    void arrive(size_t vm);

    void advance(Duration step);

    // The VM stops at once; the list loses it later, unless the store is down.
    void kill(size_t vm);

    // A VM that was dead, or a new one, starts with a new incarnation and joins.
    void join(size_t vm);

    // The VM neither receives nor sends nor runs until then.
    void pause(size_t vm, Duration duration);

    void setStoreDown(bool down);

    // True where the other VM can't be reached from here.
    std::function<bool(size_t from, size_t to)> isCut;

    bool isUp(size_t vm) const;
    const QuotaClient &borrower(size_t vm) const;
    const RateOwner &keeper(size_t vm) const;
    Instant now() const;

    // Called for each admitted statement with the true time of its arrival and admission, and for
    // each refused one.
    std::function<void(Instant arrived, Instant admitted)> onAdmitted;
    std::function<void(Instant arrived)> onRefused;

    // Messages sent so far, answers included.
    uint64_t messages() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
