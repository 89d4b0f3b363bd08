#include "gentianplank/target/connection_pool.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace gentianplank {

namespace {

// A member that takes longer to accept a connection is treated as unreachable.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);

struct AddressPool
{
    std::vector<std::unique_ptr<MemberConnection>> idle;
    // Connections that are idle, in use or being opened.
    size_t openCount = 0;
    // Calls of acquire() that wait for a connection.
    size_t waiting = 0;
};

} // namespace

ConnectionLease::ConnectionLease(
    std::function<void(std::unique_ptr<MemberConnection>, bool)> release,
    std::unique_ptr<MemberConnection> connection)
    : m_release(std::move(release))
    , m_connection(std::move(connection))
{}

ConnectionLease::ConnectionLease(ConnectionLease &&other) noexcept
    : m_release(std::move(other.m_release))
    , m_connection(std::move(other.m_connection))
    , m_clean(other.m_clean)
{}

ConnectionLease::~ConnectionLease()
{
    if (m_connection != nullptr) {
        const bool keep = m_clean && m_connection->isUsable();
        m_release(std::move(m_connection), keep);
    }
}

MemberConnection &ConnectionLease::connection()
{
    return *m_connection;
}

void ConnectionLease::markReusable()
{
    m_clean = true;
}

struct ConnectionPool::State
{
    explicit State(MemberConnector &source)
        : connector(source)
    {}

    void release(const std::string &address, std::unique_ptr<MemberConnection> connection,
                 bool keep)
    {
        if (!keep) {
            // Closed outside the lock, since closing may wait for the transport.
            connection.reset();
        }
        const std::lock_guard lock(mutex);
        AddressPool &pool = pools[address];
        if (keep) {
            pool.idle.push_back(std::move(connection));
        } else {
            --pool.openCount;
        }
        changed.notify_all();
    }

    MemberConnector &connector;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, AddressPool> pools;
};

ConnectionPool::ConnectionPool(MemberConnector &connector)
    : m_state(std::make_shared<State>(connector))
{}

ConnectionPool::~ConnectionPool() = default;

tl::expected<ConnectionLease, MemberError> ConnectionPool::acquire(const std::string &address,
                                                                   size_t limit, Instant deadline)
{
    const auto release = [state = m_state, address](std::unique_ptr<MemberConnection> connection,
                                                    bool keep) {
        state->release(address, std::move(connection), keep);
    };
    std::unique_lock lock(m_state->mutex);
    AddressPool &pool = m_state->pools[address];
    ++pool.waiting;
    const bool available = m_state->changed.wait_until(
        lock, deadline, [&] { return !pool.idle.empty() || pool.openCount < limit; });
    --pool.waiting;
    if (!available) {
        return tl::unexpected(
            MemberError{MemberFault::NotSent, target::v1::FAILURE_KIND_UNSPECIFIED,
                        "no connection to " + address + " became available before the deadline"});
    }
    if (!pool.idle.empty()) {
        std::unique_ptr<MemberConnection> connection = std::move(pool.idle.back());
        pool.idle.pop_back();
        return ConnectionLease(release, std::move(connection));
    }
    ++pool.openCount;
    lock.unlock();
    const Instant connectUntil = std::min(deadline, steadyNow() + ConnectTimeout);
    auto connection = m_state->connector.connect(address, connectUntil);
    if (!connection) {
        const std::lock_guard guard(m_state->mutex);
        --m_state->pools[address].openCount;
        m_state->changed.notify_all();
        return tl::unexpected(connection.error());
    }
    return ConnectionLease(release, std::move(*connection));
}

void ConnectionPool::closeIdle(const std::string &address)
{
    std::vector<std::unique_ptr<MemberConnection>> closing;
    const std::lock_guard lock(m_state->mutex);
    AddressPool &pool = m_state->pools[address];
    pool.openCount -= pool.idle.size();
    closing.swap(pool.idle);
    m_state->changed.notify_all();
}

size_t ConnectionPool::openCount(const std::string &address) const
{
    const std::lock_guard lock(m_state->mutex);
    const auto it = m_state->pools.find(address);
    return it == m_state->pools.end() ? 0 : it->second.openCount;
}

size_t ConnectionPool::waiting(const std::string &address) const
{
    const std::lock_guard lock(m_state->mutex);
    const auto it = m_state->pools.find(address);
    return it == m_state->pools.end() ? 0 : it->second.waiting;
}

} // namespace gentianplank
