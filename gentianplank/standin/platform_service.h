// Serves an in-memory table service and object store over gRPC, and the service that sets simulated
// faults. Calls to the VM list fail with UNIMPLEMENTED.
#pragma once

#include "gentianplank/proto/standin.pb.h"
#include "gentianplank/standin/member_service.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gentianplank {

// Serves the platform until destroyed, on threads of gRPC. The functions aren't thread-safe.
class PlatformServer
{
public:
    // Listens on `address` ("IP:port"). `groups` receive the member faults and must outlive the
    // server.
    PlatformServer(const std::string &address, std::vector<GroupServers *> groups);
    ~PlatformServer();

    // Serves the same platform on an additional address.
    void addAddress(const std::string &address);

    // Blocks or unblocks store calls that arrive at one of the addresses; a blocked call waits
    // until it is cancelled. Throws std::out_of_range for an unknown address.
    void setCut(const std::string &address, bool isCut);

    // Returns false if any of the addresses couldn't be bound.
    bool isListening() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace gentianplank
