#include "gentianplank/standin/line_protocol_state.h"

#include "gentianplank/http/endpoint.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <future>

namespace gentianplank {

namespace asio = boost::asio;
using boost::system::error_code;

LineProtocolGroup::LineProtocolGroup(std::string name, size_t members, uint32_t connectionLimit)
    : m_state(std::make_shared<State>())
{
    m_state->name = std::move(name);
    m_state->connectionLimit = connectionLimit;
    m_state->members.resize(members);
    for (size_t i = 0; i < members; ++i) {
        auto &member = m_state->members[i];
        member.acceptor = std::make_unique<asio::ip::tcp::acceptor>(
            m_state->ioContext, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        member.address = "127.0.0.1:" + std::to_string(member.acceptor->local_endpoint().port());
        member.isPrimary = i == 0;
        m_state->accept(i);
    }
    m_state->thread = std::thread([state = m_state] { state->ioContext.run(); });
}

LineProtocolGroup::~LineProtocolGroup()
{
    m_state->ioContext.stop();
    m_state->thread.join();
    for (auto &member : m_state->members) {
        member.acceptor = nullptr;
        for (const auto &connection : member.connections) {
            error_code ec;
            connection->socket.close(ec);
        }
    }
    // Pending handlers own a reference to the state. Running them, now that all sockets are closed,
    // breaks the cycle.
    m_state->ioContext.restart();
    m_state->ioContext.poll();
}

MemberEntry LineProtocolGroup::discoveryEntry(size_t member) const
{
    const std::lock_guard lock(m_state->mutex);
    MemberEntry entry;
    entry.id = m_state->name + "-" + std::to_string(member);
    entry.group = m_state->name;
    entry.address = m_state->members[member].address;
    entry.zone = "a";
    entry.slots = 2;
    entry.claimsPrimary = m_state->members[member].isPrimary;
    entry.startedAtMs = 1;
    return entry;
}

std::string LineProtocolGroup::discoveryDocument(size_t member) const
{
    const MemberEntry entry = discoveryEntry(member);
    return nlohmann::json{{"service", entry.group},
                          {"address", entry.address},
                          {"zone", entry.zone},
                          {"version", "v1"},
                          {"slot-count", entry.slots},
                          {"state", "ready"},
                          {"cold-remaining-ms", 0},
                          {"database-role", entry.claimsPrimary ? "primary" : "replica"},
                          {"sequence", 1},
                          {"born", entry.startedAtMs}}
        .dump();
}

void LineProtocolGroup::crash(size_t member)
{
    std::promise<void> crashed;
    asio::post(m_state->ioContext, [this, member, &crashed] {
        {
            const std::lock_guard lock(m_state->mutex);
            auto &it = m_state->members[member];
            it.acceptor = nullptr;
            for (const auto &connection : it.connections) {
                resetSocket(connection->socket);
            }
            it.connections.clear();
        }
        crashed.set_value();
    });
    crashed.get_future().wait();
}

void LineProtocolGroup::restart(size_t member)
{
    std::promise<void> restarted;
    asio::post(m_state->ioContext, [this, member, &restarted] {
        auto acceptor = std::make_unique<asio::ip::tcp::acceptor>(
            m_state->ioContext, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        const std::lock_guard lock(m_state->mutex);
        State::Member &it = m_state->members[member];
        it.address = "127.0.0.1:" + std::to_string(acceptor->local_endpoint().port());
        it.acceptor = std::move(acceptor);
        m_state->accept(member);
        for (size_t i = 0; i < m_state->members.size(); ++i) {
            if (m_state->members[i].isPrimary) {
                m_state->replicate(i);
            }
        }
        restarted.set_value();
    });
    restarted.get_future().wait();
}

void LineProtocolGroup::stopAnswering(size_t member)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->members[member].isSilent = true;
}

void LineProtocolGroup::failStatements(size_t member, bool fails)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->members[member].failsStatements = fails;
}

void LineProtocolGroup::refuseStatus(size_t member, bool refuses)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->members[member].refusesStatus = refuses;
}

void LineProtocolGroup::loseNextAnswer()
{
    const std::lock_guard lock(m_state->mutex);
    m_state->losesNextAnswer = true;
}

void LineProtocolGroup::answerWithoutEnd(const std::string &item, bool isSlow)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->endlessItems[item] = isSlow;
}

void LineProtocolGroup::setReplicationPaused(bool isPaused)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->isReplicationPaused = isPaused;
    for (size_t i = 0; i < m_state->members.size() && !isPaused; ++i) {
        if (m_state->members[i].isPrimary) {
            m_state->replicate(i);
        }
    }
}

void LineProtocolGroup::promote(size_t member)
{
    const std::lock_guard lock(m_state->mutex);
    uint64_t term = 0;
    for (auto &it : m_state->members) {
        term = std::max(term, it.term);
        it.isPrimary = false;
    }
    m_state->members[member].isPrimary = true;
    m_state->members[member].term = term + 1;
    m_state->replicate(member);
}

std::vector<ExecutedStatement> LineProtocolGroup::runs() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->runs;
}

std::vector<CommittedWrite> LineProtocolGroup::commits() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->commits;
}

std::map<std::string, std::string> LineProtocolGroup::committed() const
{
    const std::lock_guard lock(m_state->mutex);
    for (const auto &it : m_state->members) {
        if (it.isPrimary) {
            return it.items;
        }
    }
    return {};
}

size_t LineProtocolGroup::connections(size_t member) const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->members[member].connections.size();
}

size_t LineProtocolGroup::preparedStatements(size_t member) const
{
    const std::lock_guard lock(m_state->mutex);
    size_t most = 0;
    for (const auto &it : m_state->members[member].connections) {
        most = std::max(most, it->prepared.size());
    }
    return most;
}

} // namespace gentianplank
