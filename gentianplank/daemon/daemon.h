// The daemon on an entry VM: all parts, wired together.
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

    // Starts listening; returns what is wrong, or an empty string.
    std::string start();

    // Whether the VM has standing and a configuration. Thread-safe.
    bool isReady() const;

    // The VM's calls to the table store so far. Thread-safe.
    StoreCallCounts storeCalls() const;

    // Refuses new requests, waits for running ones, and leaves the fleet. Blocks.
    void shutDown();

    // Ends at once without leaving the fleet, as a crash does: running requests break off.
    void halt();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

// Creates and starts a daemon; the error is a sentence for people.
tl::expected<std::unique_ptr<Daemon>, std::string> startDaemon(const Settings &settings);

} // namespace gentianplank
