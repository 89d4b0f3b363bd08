#include "gentianplank/node/traffic/connection_shares.h"

namespace gentianplank {

namespace {

// The part of the limit that is kept for addresses with few connections.
constexpr size_t KeptDivisor = 16;

} // namespace

bool ConnectionShares::mayConnect(std::string_view address, size_t limit) const
{
    if (m_total >= limit) {
        return false;
    }
    if (m_total < limit - limit / KeptDivisor) {
        return true;
    }
    const auto it = m_connections.find(address);
    return it == m_connections.end() || it->second * 2 < m_total;
}

void ConnectionShares::add(std::string_view address)
{
    auto it = m_connections.find(address);
    if (it == m_connections.end()) {
        it = m_connections.emplace(std::string(address), 0).first;
    }
    ++it->second;
    ++m_total;
}

void ConnectionShares::remove(std::string_view address)
{
    const auto it = m_connections.find(address);
    if (it == m_connections.end()) {
        return;
    }
    --m_total;
    if (--it->second == 0) {
        m_connections.erase(it);
    }
}

} // namespace gentianplank
