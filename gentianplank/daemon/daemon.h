// The daemon of an entry VM: creates, connects and runs all its components.
//
//     auto daemon = startDaemon(settings);
//     if (!daemon) { std::cerr << daemon.error(); }
//     ...
//     (*daemon)->shutDown();
#pragma once

#include "gentianplank/settings/settings.h"
#include "gentianplank/store/counting_table_store.h"

#include <tl/expected.hpp>

#include <memory>
#include <string>

namespace gentianplank {

class Daemon
{
public:
    explicit Daemon(const Settings &settings);
    ~Daemon();

    // Starts the servers and the control loop. Returns an error message, or an empty string.
    std::string start();

    // Whether the VM holds its membership lease, has a configuration and is not shutting down.
    // Thread-safe.
    bool isReady() const;

    // Returns how often this VM has called the table store. Thread-safe.
    StoreCallCounts storeCalls() const;

    // Refuses new requests, waits for running ones up to the shutdown grace period, and leaves the
    // fleet. Blocks. Does nothing after an earlier shutDown() or halt().
    void shutDown();

    // Simulates a crash: stops at once, cancels running requests and doesn't leave the fleet.
    void halt();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

// Creates and starts a daemon, or returns an error message for the operator.
tl::expected<std::unique_ptr<Daemon>, std::string> startDaemon(const Settings &settings);

} // namespace gentianplank
