#include "gentianplank/standin/line_protocol_state.h"

#include "gentianplank/http/endpoint.h"

#include <boost/asio/write.hpp>

#include <algorithm>

namespace gentianplank {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

using Items = std::map<std::string, std::string>;

std::vector<std::string> splitWords(const std::string &text)
{
    std::vector<std::string> words;
    size_t start = 0;
    while (start <= text.size()) {
        const size_t end = std::min(text.find(' ', start), text.size());
        words.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return words;
}

} // namespace

void LineProtocolGroup::State::accept(size_t member)
{
    members[member].acceptor->async_accept(
        [self = shared_from_this(), member](error_code ec, asio::ip::tcp::socket socket) {
            if (ec) {
                return;
            }
            auto connection = std::make_shared<Connection>(std::move(socket));
            {
                const std::lock_guard lock(self->mutex);
                connection->number = self->nextConnection++;
                connection->member = member;
                self->members[member].connections.insert(connection);
            }
            self->read(connection);
            self->accept(member);
        });
}

void LineProtocolGroup::State::read(const ConnectionPointer &connection)
{
    connection->socket.async_read_some(
        asio::buffer(connection->chunk),
        [self = shared_from_this(), connection](error_code ec, size_t n) {
            if (ec) {
                self->closeConnection(connection);
                return;
            }
            connection->buffer.append({connection->chunk.data(), n});
            while (const auto line = connection->buffer.next()) {
                self->handleLine(connection, std::string(*line));
            }
            if (connection->socket.is_open()) {
                self->read(connection);
            }
        });
}

void LineProtocolGroup::State::handleLine(const ConnectionPointer &connection,
                                          const std::string &line)
{
    const std::unique_lock lock(mutex);
    if (members[connection->member].isSilent) {
        return;
    }
    const auto words = splitWords(line);
    const auto endless = endlessItems.find(words.back());
    if (endless != endlessItems.end() && words[words.size() - 2] == "READ") {
        sendRows(connection, endless->second);
        return;
    }
    std::string answer;
    bool isInvalid = false;
    if (words[0] == "START") {
        start(connection, words);
        return;
    }
    if (words[0] == "QUERY" && words.size() >= 3) {
        answer =
            runQuery(*connection, words[1], line.substr(words[0].size() + words[1].size() + 2));
    } else {
        isInvalid = true;
    }
    if (isInvalid || dropsCurrentAnswer) {
        dropsCurrentAnswer = false;
        members[connection->member].connections.erase(connection);
        resetSocket(connection->socket);
        return;
    }
    error_code ec;
    asio::write(connection->socket, asio::buffer(answer), ec);
}

void LineProtocolGroup::State::sendRows(const ConnectionPointer &connection, bool isSlow)
{
    const auto row =
        std::make_shared<std::string>("ROW " + std::string(isSlow ? 1 : 64 * 1024, 'r') + "\r\n");
    asio::async_write(connection->socket, asio::buffer(*row),
                      [self = shared_from_this(), connection, row, isSlow](error_code ec, size_t) {
                          if (ec) {
                              return;
                          }
                          auto timer = std::make_shared<asio::steady_timer>(
                              self->ioContext, std::chrono::milliseconds(isSlow ? 100 : 0));
                          timer->async_wait([self, connection, isSlow, timer](error_code) {
                              if (connection->socket.is_open()) {
                                  self->sendRows(connection, isSlow);
                              }
                          });
                      });
}

void LineProtocolGroup::State::start(const ConnectionPointer &connection,
                                     const std::vector<std::string> &words)
{
    Member &member = members[connection->member];
    std::string answer;
    const std::string id = name + "-" + std::to_string(connection->member);
    if (words.size() < 3 || words[1] != name || (words.size() > 3 && words[3] != id)) {
        answer = platform::encodeError(ErrorCode::WrongMember, id);
    } else if (member.connections.size() > connectionLimit) {
        answer = platform::encodeError(ErrorCode::TooManyConnections, id);
    }
    const bool isRefused = !answer.empty();
    if (!isRefused) {
        connection->organisation = words[2];
        connection->hasStarted = true;
        answer = platform::encodeReady(TransactionState::Idle,
                                       LogPosition{member.term, member.position});
    }
    error_code ec;
    asio::write(connection->socket, asio::buffer(answer), ec);
    if (isRefused) {
        member.connections.erase(connection);
        connection->socket.close(ec);
    }
}

std::string LineProtocolGroup::State::runQuery(Connection &connection, const std::string &id,
                                               std::string text)
{
    Member &member = members[connection.member];
    auto words = splitWords(text);
    std::string answer;
    if (words[0] == "AFTER" && words.size() > 2) {
        const LogPosition current{member.term, member.position};
        const size_t dot = words[1].find('.');
        const LogPosition requested{std::stoull(words[1].substr(0, dot)),
                                    std::stoull(words[1].substr(dot + 1))};
        text = text.substr(words[0].size() + words[1].size() + 2);
        if (current < requested) {
            answer = platform::encodeError(ErrorCode::Lagging, "behind");
        }
        words = splitWords(text);
    }
    const bool isInternal = id == platform::InternalRequestId;
    if (answer.empty()) {
        if (!isInternal) {
            runs.push_back({id, text, connection.organisation, connection.member, connection.number,
                            connection.values, steadyNow()});
        }
        answer = member.failsStatements && !isInternal
                     ? platform::encodeError(ErrorCode::Failed, "fault")
                     : runStatement(connection, words);
    }
    const bool failed = answer.starts_with("ERROR");
    if (failed && connection.state == TransactionState::Open) {
        connection.state = TransactionState::Failed;
    }
    if (!failed) {
        answer += isInternal ? platform::encodeDone() : encodeSignedDone(id);
    }
    return answer +
           platform::encodeReady(connection.state, LogPosition{member.term, member.position});
}

std::string LineProtocolGroup::State::runStatement(Connection &connection,
                                                   const std::vector<std::string> &words)
{
    Member &member = members[connection.member];
    const std::string &verb = words[0];
    if (verb == "STATUS") {
        if (member.refusesStatus) {
            return platform::encodeError(ErrorCode::Busy, "slots");
        }
        return status(member);
    }
    if (verb == "DEMOTE") {
        member.isPrimary = member.isPrimary && member.term >= std::stoull(words[1]);
        return status(member);
    }
    if (verb == "RESET") {
        connection.values.clear();
        connection.prepared.clear();
        return "";
    }
    if (verb == "SET") {
        connection.values[words[1]] = words[2];
        return "";
    }
    if (verb == "PREPARE") {
        connection.prepared[words[1]] = {words[2] == "WRITE", words[3]};
        return "";
    }
    if (verb == "BEGIN") {
        connection.isReadOnly = words.size() > 1;
        if (!connection.isReadOnly && !member.isPrimary) {
            return platform::encodeError(ErrorCode::ReadOnly, "replica");
        }
        connection.state = TransactionState::Open;
        connection.pendingWrites.clear();
        return "";
    }
    if (verb == "ROLLBACK") {
        connection.state = TransactionState::Idle;
        return "";
    }
    if (verb == "COMMIT") {
        return commit(connection);
    }
    if (verb == "READ") {
        return readItem(connection, words[1]);
    }
    if (verb == "WRITE" && words.size() > 2) {
        return writeItem(connection, words[1], words[2]);
    }
    if (verb == "EXECUTE") {
        const auto it = connection.prepared.find(words[1]);
        if (it == connection.prepared.end()) {
            return platform::encodeError(ErrorCode::NoStatement, words[1]);
        }
        return it->second.writes ? writeItem(connection, words[2], words[3])
                                 : readItem(connection, words[2]);
    }
    return platform::encodeError(ErrorCode::Malformed, verb);
}

std::string LineProtocolGroup::State::readItem(const Connection &connection,
                                               const std::string &item)
{
    const Items &items = members[connection.member].items;
    const auto pending = connection.pendingWrites.find(item);
    if (connection.state == TransactionState::Open && pending != connection.pendingWrites.end()) {
        return "ROW " + pending->second + "\r\n";
    }
    const auto it = items.find(item);
    return it == items.end() ? "" : "ROW " + it->second + "\r\n";
}

std::string LineProtocolGroup::State::writeItem(Connection &connection, const std::string &item,
                                                const std::string &data)
{
    Member &member = members[connection.member];
    if (!member.isPrimary) {
        return platform::encodeError(ErrorCode::ReadOnly, "replica");
    }
    if (connection.state == TransactionState::Open) {
        connection.pendingWrites[item] = data;
        return "";
    }
    member.items[item] = data;
    commits.push_back({item, data, member.term});
    ++member.position;
    replicate(connection.member);
    dropsCurrentAnswer = losesNextAnswer;
    losesNextAnswer = false;
    return "";
}

std::string LineProtocolGroup::State::commit(Connection &connection)
{
    Member &member = members[connection.member];
    if (connection.state != TransactionState::Open) {
        connection.state = TransactionState::Idle;
        return platform::encodeError(ErrorCode::Aborted, "no transaction is open");
    }
    connection.state = TransactionState::Idle;
    if (connection.pendingWrites.empty()) {
        return "";
    }
    if (!member.isPrimary) {
        return platform::encodeError(ErrorCode::ReadOnly, "replica");
    }
    for (const auto &[item, data] : connection.pendingWrites) {
        member.items[item] = data;
        commits.push_back({item, data, member.term});
    }
    ++member.position;
    replicate(connection.member);
    dropsCurrentAnswer = losesNextAnswer;
    losesNextAnswer = false;
    return "";
}

std::string LineProtocolGroup::State::status(const Member &member) const
{
    return std::string("ROW ") + (member.isPrimary ? "primary " : "replica ") +
           std::to_string(member.term) + " " + std::to_string(member.term) + "." +
           std::to_string(member.position) + " 0 1 0 " + std::to_string(member.connections.size()) +
           "\r\n";
}

void LineProtocolGroup::State::replicate(size_t source)
{
    if (isReplicationPaused) {
        return;
    }
    for (Member &it : members) {
        if (!it.isPrimary && it.acceptor) {
            it.items = members[source].items;
            it.term = members[source].term;
            it.position = members[source].position;
        }
    }
}

void LineProtocolGroup::State::closeConnection(const ConnectionPointer &connection)
{
    const std::lock_guard lock(mutex);
    members[connection->member].connections.erase(connection);
    error_code ec;
    connection->socket.close(ec);
}

} // namespace gentianplank
