// Pools a VM's connections to members. Members accept few connections, so each address has a limit.
//
//     auto lease = pool.acquire(address, limit, deadline);
//     auto done = lease->connection().call(request, deadline);
//     lease->markReusable();          // otherwise the connection is closed, not kept
#pragma once

#include "gentianplank/target/member_connection.h"

#include <tl/expected.hpp>

#include <memory>
#include <string>

namespace gentianplank {

class ConnectionPool;

// Exclusive use of a pooled connection. The destructor returns the connection to the pool if
// markReusable() was called and the connection is still usable, and closes it otherwise. Not
// thread-safe.
class ConnectionLease
{
public:
    ConnectionLease(std::function<void(std::unique_ptr<MemberConnection>, bool)> release,
                    std::unique_ptr<MemberConnection> connection);
    ConnectionLease(ConnectionLease &&other) noexcept;
    ConnectionLease &operator=(ConnectionLease &&) = delete;
    ConnectionLease(const ConnectionLease &) = delete;
    ConnectionLease &operator=(const ConnectionLease &) = delete;
    ~ConnectionLease();

    MemberConnection &connection();

    // Declares that no transaction is open and no answer is outstanding, so that the connection may
    // be reused.
    void markReusable();

private:
    std::function<void(std::unique_ptr<MemberConnection>, bool)> m_release;
    std::unique_ptr<MemberConnection> m_connection;
    bool m_clean = false;
};

// Thread-safe.
class ConnectionPool
{
public:
    explicit ConnectionPool(MemberConnector &connector);
    ~ConnectionPool();

    // Returns an idle connection, or opens one if the address has fewer than `limit`; otherwise
    // waits until `deadline` for one to become available. Every error is NotSent or Refused.
    tl::expected<ConnectionLease, MemberError> acquire(const std::string &address, size_t limit,
                                                       Instant deadline);

    // Closes the idle connections to an address.
    void closeIdle(const std::string &address);

    // Returns the number of connections to an address: idle, in use and being opened.
    size_t openCount(const std::string &address) const;

    // Returns the number of acquire() calls that wait for a connection to an address.
    size_t waiting(const std::string &address) const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace gentianplank
