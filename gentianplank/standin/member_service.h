// Serves the members of an in-memory database group over gRPC, replicates between them and
// simulates faults.
#pragma once

#include "gentianplank/proto/standin.pb.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace gentianplank {

struct GroupOptions
{
    std::string group;
    // Statements that each member runs concurrently.
    uint32_t slots = 2;
    // Maximum number of connections per member.
    uint32_t connections = 16;
    // Time to establish a connection.
    std::chrono::milliseconds connectTime{12};
    // Execution time of a statement or commit.
    std::chrono::microseconds statementTime{1000};
    // Replication lag, unless a member fault sets another.
    std::chrono::milliseconds lag{0};
    // Delay before each chunk of a streamed answer.
    std::chrono::milliseconds chunkTime{0};
};

// The name of a member and the "IP:port" that it listens on.
struct MemberAddress
{
    std::string name;
    std::string address;
};

// Runs a group until destroyed. The first member starts as primary of term 1. Thread-safe.
class GroupServers
{
public:
    GroupServers(GroupOptions options, std::vector<MemberAddress> members);
    ~GroupServers();

    const std::string &group() const;

    // Replaces the faults of the member that `fault` names. Returns false if there is no such
    // member.
    bool setFault(const standin::v1::MemberFault &fault);

    // Returns the last 10000 requests that each member received, in text form.
    std::vector<std::string> received() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
