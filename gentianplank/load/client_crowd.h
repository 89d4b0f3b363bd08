// Clients of the line protocol that misuse it, to test how a VM bears them. Use it on systems of
// one's own only.
//
//     CrowdResult result = runCrowd(ClientKind::HalfMessage, options);
//     std::cout << render(result);
#pragma once

#include "gentianplank/base/time.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gentianplank {

enum class ClientKind {
    // Sends 0.9 MB of a message and then nothing.
    HalfMessage,
    // Sends three messages of 0.9 MB in one piece.
    PipelinedLarge,
    // Sends 20,000 small reads and does not read the answers.
    UnreadAnswers,
    // Sends 8 MB without a line end.
    EndlessLine,
    // Sends a byte a second.
    Trickle,
    // Connects and leaves at once, again and again.
    ConnectAndLeave,
    // Sends a read and closes its sending side, then expects the answer.
    HalfClosed,
};

struct NamedClientKind
{
    ClientKind kind;
    std::string_view name;
};

// All kinds with their names.
inline constexpr std::array<NamedClientKind, 7> ClientKinds{{
    {ClientKind::HalfMessage, "half-message"},
    {ClientKind::PipelinedLarge, "pipelined-large"},
    {ClientKind::UnreadAnswers, "unread-answers"},
    {ClientKind::EndlessLine, "endless-line"},
    {ClientKind::Trickle, "trickle"},
    {ClientKind::ConnectAndLeave, "connect-and-leave"},
    {ClientKind::HalfClosed, "half-closed"},
}};

// Returns the kind of a name, or nothing if there is none. Thread-safe.
std::optional<ClientKind> parseClientKind(std::string_view name);

struct CrowdOptions
{
    // The VM's address for callers, IP:PORT with an IPv4 address.
    std::string address;
    // IP address to connect from; empty: the system's choice.
    std::string source;
    std::string database;
    std::string key;
    // At most MaxCrowdConnections at a time.
    size_t connections = 50;
    // At most MaxCrowdDuration.
    Duration duration = std::chrono::seconds(5);
};
inline constexpr size_t MaxCrowdConnections = 300;
inline constexpr Duration MaxCrowdDuration = std::chrono::seconds(60);

struct CrowdResult
{
    size_t connected = 0;
    // Connections that the VM ended.
    size_t closedByVm = 0;
    // Statements that were answered with DONE, where answers are read.
    size_t served = 0;
    size_t errors = 0;
    uint64_t sentBytes = 0;
    uint64_t receivedBytes = 0;
};

// Whether IP:PORT is on this machine's loopback network. Thread-safe.
bool isLoopback(std::string_view address);

// Runs clients of one kind for the duration and closes them. Blocks. An address that is not valid
// gives a result without connections. Thread-safe.
CrowdResult runCrowd(ClientKind kind, const CrowdOptions &options);

// Returns one line.
std::string render(const CrowdResult &result);

} // namespace gentianplank
