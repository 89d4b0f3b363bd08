// Private state of LineProtocolGroup, shared by its sources: line_protocol_group.cc (the public
// functions) and line_protocol_sessions.cc (connections and statements).
#pragma once

#include "gentianplank/standin/line_protocol_group.h"

#include "gentianplank/platform/line_codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <mutex>
#include <set>
#include <thread>

namespace gentianplank {

struct LineProtocolGroup::State : std::enable_shared_from_this<LineProtocolGroup::State>
{
    struct Connection;
    struct Member
    {
        std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
        std::string address;
        bool isPrimary = false;
        bool isSilent = false;
        bool failsStatements = false;
        bool refusesStatus = false;
        uint64_t term = 1;
        uint64_t position = 0;
        std::map<std::string, std::string> items;
        std::set<std::shared_ptr<Connection>> connections;
    };
    struct Connection
    {
        explicit Connection(boost::asio::ip::tcp::socket it)
            : socket(std::move(it))
            , buffer(1 << 20)
        {}
        boost::asio::ip::tcp::socket socket;
        platform::LineBuffer buffer;
        std::array<char, 4096> chunk{};
        uint64_t number = 0;
        size_t member = 0;
        std::string organisation;
        bool hasStarted = false;
        TransactionState state = TransactionState::Idle;
        bool isReadOnly = false;
        // Uncommitted writes of the open transaction.
        std::map<std::string, std::string> pendingWrites;
        // Session variables.
        std::map<std::string, std::string> values;
        std::map<std::string, PreparedStatement> prepared;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    void accept(size_t member);
    void read(const ConnectionPointer &connection);
    void handleLine(const ConnectionPointer &connection, const std::string &line);
    void start(const ConnectionPointer &connection, const std::vector<std::string> &words);
    std::string runQuery(Connection &connection, const std::string &id, std::string text);
    std::string runStatement(Connection &connection, const std::vector<std::string> &words);
    std::string writeItem(Connection &connection, const std::string &item, const std::string &data);
    std::string readItem(const Connection &connection, const std::string &item);
    std::string commit(Connection &connection);
    std::string status(const Member &member) const;
    void replicate(size_t source);
    void closeConnection(const ConnectionPointer &connection);
    // Sends rows until the connection is closed.
    void sendRows(const ConnectionPointer &connection, bool isSlow);
    static std::string encodeSignedDone(const std::string &id) { return "DONE sig." + id + "\r\n"; }

    mutable std::mutex mutex;
    std::string name;
    uint32_t connectionLimit = 16;
    boost::asio::io_context ioContext;
    std::vector<Member> members;
    std::vector<ExecutedStatement> runs;
    std::vector<CommittedWrite> commits;
    // std::map<std::string, std::string> whose reads are answered without end, and whether slowly.
    std::map<std::string, bool> endlessItems;
    uint64_t nextConnection = 1;
    bool isReplicationPaused = false;
    bool losesNextAnswer = false;
    bool dropsCurrentAnswer = false;
    std::thread thread;
};

} // namespace gentianplank
