// Division of the connections for callers among their addresses.
//
//     ConnectionShares shares;
//     if (shares.mayConnect(address, limit)) { shares.add(address); }
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace gentianplank {

// Not thread-safe.
class ConnectionShares
{
public:
    // Whether another connection of the address is accepted, with `limit` for all addresses. The
    // last sixteenth is kept for addresses that hold less than half of all connections, so that one
    // client can't take all; a load balancer that is the only address loses no more than that.
    bool mayConnect(std::string_view address, size_t limit) const;

    void add(std::string_view address);
    void remove(std::string_view address);
    size_t total() const { return m_total; }

private:
    std::map<std::string, size_t, std::less<>> m_connections;
    size_t m_total = 0;
};

} // namespace gentianplank
