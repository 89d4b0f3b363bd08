#include "world.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace review {

namespace {

constexpr uint32_t Slots = 3;
constexpr uint32_t QueueLength = 24;
constexpr uint32_t ConnectionLimit = 34;
constexpr int64_t HeartbeatMs = 1200;
constexpr int64_t ReplicationMs = 8;
constexpr int64_t StoreAnswerMs = 4;
// A deposed primary goes on until a second after it can reach the new one.
constexpr int64_t DeposedMs = 1000;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int bindFree(int fd)
{
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    ::bind(fd, reinterpret_cast<sockaddr *>(&address), size);
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

std::string decodePercent(const std::string &text)
{
    std::string result;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::optional<HttpRequest> readRequest(Stream &stream)
{
    const auto first = stream.line();
    if (!first) {
        return std::nullopt;
    }
    const auto words = wordsOf(*first);
    if (words.size() < 2) {
        return std::nullopt;
    }
    HttpRequest request;
    request.method = words[0];
    const size_t mark = words[1].find('?');
    request.path = words[1].substr(0, mark);
    std::istringstream parts(mark == std::string::npos ? "" : words[1].substr(mark + 1));
    for (std::string part; std::getline(parts, part, '&');) {
        const size_t equals = part.find('=');
        request.query[part.substr(0, equals)] =
            equals == std::string::npos ? "" : decodePercent(part.substr(equals + 1));
    }
    while (true) {
        const auto line = stream.line();
        if (!line) {
            return std::nullopt;
        }
        if (line->empty()) {
            break;
        }
        const size_t colon = line->find(':');
        std::string name = line->substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        request.headers[name] = line->substr(std::min(line->size(), colon + 2));
    }
    const auto length = request.headers.find("content-length");
    if (length != request.headers.end()) {
        const auto body = stream.bytes(std::stoul(length->second));
        if (!body) {
            return std::nullopt;
        }
        request.body = *body;
    }
    return request;
}

std::string encodeAnswer(int status, const Json &body)
{
    const std::string text = body.is_null() ? "" : body.dump();
    return "HTTP/1.1 " + std::to_string(status) +
           " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(text.size()) + "\r\n\r\n" + text;
}

} // namespace

int64_t nowMs()
{
    static const auto begin = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 begin)
        .count();
}

void sleepMs(int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::vector<std::string> wordsOf(const std::string &text)
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

constexpr char Base64Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string &text)
{
    std::string result;
    for (size_t i = 0; i < text.size(); i += 3) {
        uint32_t bits = 0;
        for (size_t j = 0; j < 3; ++j) {
            bits =
                bits << 8U | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (size_t j = 0; j < 4; ++j) {
            result += i + j > text.size() ? '=' : Base64Digits[bits >> (18U - 6U * j) & 63U];
        }
    }
    return result;
}

std::string decodeBase64(const std::string &text)
{
    const std::string digits = Base64Digits;
    std::string result;
    uint32_t bits = 0;
    unsigned count = 0;
    for (const char it : text) {
        const size_t value = digits.find(it);
        if (value == std::string::npos) {
            break;
        }
        bits = bits << 6U | static_cast<uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            result += static_cast<char>(bits >> count & 255U);
        }
    }
    return result;
}

Stream::~Stream()
{
    ::close(m_fd);
}

bool Stream::fill()
{
    std::array<char, 65536> chunk{};
    const ssize_t n = ::recv(m_fd, chunk.data(), chunk.size(), 0);
    if (n <= 0) {
        return false;
    }
    m_buffer.append(chunk.data(), static_cast<size_t>(n));
    return true;
}

std::optional<std::string> Stream::line()
{
    size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!fill()) {
            return std::nullopt;
        }
    }
    std::string text = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return text;
}

std::optional<std::string> Stream::bytes(size_t count)
{
    while (m_buffer.size() < count) {
        if (!fill()) {
            return std::nullopt;
        }
    }
    std::string text = m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return text;
}

bool Stream::send(const std::string &text) const
{
    size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t n = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<size_t>(n);
    }
    return true;
}

void Stream::end() const
{
    ::shutdown(m_fd, SHUT_RDWR);
}

std::shared_ptr<Stream> connectTo(int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_shared<Stream>(fd);
}

int listenOn(std::function<void(std::shared_ptr<Stream>)> serve)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int port = bindFree(fd);
    ::listen(fd, 128);
    std::thread([fd, serve = std::move(serve)] {
        while (true) {
            const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                return;
            }
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread(serve, std::make_shared<Stream>(accepted)).detach();
        }
    }).detach();
    return port;
}

int freePort()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int port = bindFree(fd);
    ::close(fd);
    return port;
}

Record::Record(const std::string &path)
    : m_file(std::fopen(path.c_str(), "w"))
{}

Record::~Record()
{
    if (m_file != nullptr) {
        std::fclose(m_file);
    }
}

void Record::write(const std::string &what)
{
    const std::lock_guard lock(m_mutex);
    if (m_file != nullptr) {
        std::fprintf(m_file, "%8.3f %s\n", static_cast<double>(nowMs()) / 1000, what.c_str());
        std::fflush(m_file);
    }
}

Store::Store(Record &record)
    : m_record(record)
    , m_port(listenOn([this](const std::shared_ptr<Stream> &stream) { serve(stream); }))
{}

void Store::put(const std::string &table, const std::string &key, const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    const std::string value = encodeBase64(text);
    m_tables[table][key] = {value, ++m_version};
    m_history.push_back({m_version, table, key, value, false});
    m_changed.notify_all();
}

void Store::erase(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    if (m_tables[table].erase(key) != 0) {
        m_history.push_back({++m_version, table, key, "", true});
        m_changed.notify_all();
    }
}

Json Store::rowJson(const Change &change) const
{
    Json row{{"table", change.table},
             {"part", ""},
             {"key", change.key},
             {"row-version", change.version}};
    if (change.isErased) {
        row["tombstone"] = true;
    } else {
        row["value"] = change.value;
    }
    return row;
}

Json Store::envelope() const
{
    return {{"rows", Json::array()}, {"row-version", m_version}, {"now-ms", nowMs() + 1000000}};
}

// Performs a transaction if its conditions hold. The lock is held.
bool Store::apply(const Json &body, Json *current)
{
    bool holds = true;
    for (const Json &it : body.at("expected")) {
        const std::string table = it.at("table");
        const std::string key = it.at("key");
        const auto row = m_tables[table].find(key);
        const bool exists = row != m_tables[table].end();
        holds = holds && (exists ? row->second.version : 0) == it.at("row-version").get<uint64_t>();
        if (exists && current != nullptr) {
            (*current)["rows"].push_back(
                rowJson({row->second.version, table, key, row->second.value, false}));
        }
    }
    if (!holds) {
        return false;
    }
    ++m_version;
    for (const Json &it : body.value("writes", Json::array())) {
        const std::string value = it.at("value");
        m_tables[it.at("table")][it.at("key")] = {value, m_version};
        m_history.push_back({m_version, it.at("table"), it.at("key"), value, false});
    }
    for (const Json &it : body.value("deletes", Json::array())) {
        m_tables[it.at("table").get<std::string>()].erase(it.at("key").get<std::string>());
        m_history.push_back({m_version, it.at("table"), it.at("key"), "", true});
    }
    m_changed.notify_all();
    return true;
}

std::pair<int, Json> Store::transact(const Json &body)
{
    std::map<std::string, std::string> texts;
    std::string what = "store: transaction";
    for (const Json &it : body.value("writes", Json::array())) {
        const std::string text = decodeBase64(it.at("value"));
        texts[it.at("key")] = text;
        what += " writes " + it.at("key").get<std::string>() + " " + text;
    }
    const TransactionFate fate = onTransaction ? onTransaction(texts) : TransactionFate::Answered;
    if (fate == TransactionFate::LostAndLate) {
        m_record.write(what + " -> no answer, performed later if its conditions hold");
        std::thread([this, body, what] {
            sleepMs(lateMs);
            const std::lock_guard lock(m_mutex);
            const bool isPerformed = apply(body, nullptr);
            m_record.write(what + (isPerformed ? " -> performed late" : " -> not performed"));
        }).detach();
        return {0, {}};
    }
    const std::lock_guard lock(m_mutex);
    Json current = envelope();
    const bool isPerformed = apply(body, &current);
    m_record.write(what + (isPerformed ? " -> 200" : " -> 412"));
    return isPerformed ? std::pair(200, envelope()) : std::pair(412, current);
}

std::pair<int, Json> Store::readRange(const std::map<std::string, std::string> &query)
{
    const std::lock_guard lock(m_mutex);
    Json body = envelope();
    const std::string table = query.at("table");
    const auto from = query.find("from");
    for (const auto &[key, row] : m_tables[table]) {
        if (from == query.end() || key >= from->second) {
            body["rows"].push_back(rowJson({row.version, table, key, row.value, false}));
        }
    }
    body["has-more"] = false;
    return {200, body};
}

std::pair<int, Json> Store::feed(const std::map<std::string, std::string> &query)
{
    const std::string table = query.at("table");
    const uint64_t after = std::stoull(query.at("after"));
    const int64_t until = nowMs() + std::stoll(query.at("wait-ms"));
    std::unique_lock lock(m_mutex);
    while (true) {
        Json body = envelope();
        for (const Change &it : m_history) {
            if (it.table == table && it.version > after) {
                body["rows"].push_back(rowJson(it));
            }
        }
        const int64_t left = until - nowMs();
        if (!body["rows"].empty() || left <= 0) {
            return {200, body};
        }
        m_changed.wait_for(lock, std::chrono::milliseconds(left));
    }
}

void Store::serve(const std::shared_ptr<Stream> &stream)
{
    while (const auto request = readRequest(*stream)) {
        std::pair<int, Json> answer{404, {}};
        sleepMs(StoreAnswerMs);
        if (request->path == "/rows-tx") {
            answer = transact(Json::parse(request->body));
        } else if (request->path == "/rows-get") {
            answer = readRange(request->query);
        } else if (request->path == "/rows-feed") {
            answer = feed(request->query);
        }
        if (answer.first == 0) {
            // The connection delivers nothing further.
            while (stream->line()) {
            }
            return;
        }
        if (!stream->send(encodeAnswer(answer.first, answer.second))) {
            return;
        }
    }
}

Service::Service(Store &store, Record &record, std::string name)
    : m_store(store)
    , m_record(record)
    , m_name(std::move(name))
    , m_members(3)
{
    for (size_t i = 0; i < m_members.size(); ++i) {
        m_members[i].isPrimary = i == 0;
        m_members[i].zone = i == 1 ? "rs-sul-b" : "rs-sul-a";
        m_members[i].port =
            listenOn([this, i](const std::shared_ptr<Stream> &stream) { serve(i, stream); });
    }
    std::thread([this] {
        while (true) {
            tick();
            sleepMs(2);
        }
    }).detach();
}

size_t Service::memberOf(const std::string &id) const
{
    for (size_t i = 0; i < m_members.size(); ++i) {
        if (idOf(i) == id) {
            return i;
        }
    }
    return m_members.size();
}

size_t Service::primary() const
{
    const std::lock_guard lock(m_mutex);
    size_t primary = 0;
    uint64_t term = 0;
    for (size_t i = 0; i < m_members.size(); ++i) {
        if (m_members[i].isPrimary && m_members[i].term > term) {
            primary = i;
            term = m_members[i].term;
        }
    }
    return primary;
}

std::vector<Commit> Service::commits() const
{
    const std::lock_guard lock(m_mutex);
    return m_commits;
}

std::vector<Promotion> Service::promotions() const
{
    const std::lock_guard lock(m_mutex);
    return m_promotions;
}

int Service::promote(const std::string &id, const std::string &holder, uint64_t token)
{
    const std::lock_guard lock(m_mutex);
    const size_t member = memberOf(id);
    const int status = member < m_members.size() ? 200 : 409;
    m_record.write("platform: POST /promotion " + id + " by " + holder + " token " +
                   std::to_string(token) + " -> " + std::to_string(status));
    if (status == 200 && !m_members[member].isPrimary) {
        m_promotions.push_back({member, token, holder, nowMs(), 0, 0});
    }
    return status;
}

void Service::drain(size_t member)
{
    const std::lock_guard lock(m_mutex);
    m_members[member].isDraining = true;
    m_record.write("member " + idOf(member) + " reports draining");
    report(member);
}

void Service::fillUntil(size_t member, int64_t untilMs)
{
    const std::lock_guard lock(m_mutex);
    m_members[member].fullUntilMs = untilMs;
}

void Service::isolateUntil(size_t member, int64_t untilMs)
{
    const std::lock_guard lock(m_mutex);
    m_members[member].isolatedUntilMs = untilMs;
}

void Service::moveAway(size_t member, int64_t roundTripMs)
{
    const std::lock_guard lock(m_mutex);
    m_members[member].roundTripMs = roundTripMs;
    m_members[member].zone = "pr-norte-a";
}

bool Service::canReach(size_t member, size_t other) const
{
    const int64_t now = nowMs();
    return now >= m_members[member].isolatedUntilMs && now >= m_members[other].isolatedUntilMs;
}

// Writes the member's entry. The lock is held.
void Service::report(size_t index)
{
    Member &member = m_members[index];
    member.reportedAtMs = nowMs();
    const Json entry{{"service", m_name},
                     {"address", "127.0.0.1:" + std::to_string(member.port)},
                     {"zone", member.zone},
                     {"version", "v1"},
                     {"slot-count", Slots},
                     {"state", member.isDraining ? "draining" : "ready"},
                     {"cold-remaining-ms", 0},
                     {"database-role", member.isPrimary ? "primary" : "replica"},
                     {"sequence", ++member.sequence},
                     {"born", 1700000000000 + static_cast<int64_t>(index)}};
    m_store.put("servers", idOf(index), entry.dump());
}

// Promotions, replication and heartbeats.
void Service::tick()
{
    const std::lock_guard lock(m_mutex);
    const int64_t now = nowMs();
    for (Promotion &it : m_promotions) {
        if (it.effectiveAtMs == 0 && now - it.calledAtMs >= promoteMs) {
            uint64_t term = 0;
            for (const Member &member : m_members) {
                term = std::max(term, member.term);
            }
            Member &member = m_members[it.member];
            member.isPrimary = true;
            member.deposedAtMs = 0;
            member.term = term + 1;
            it.term = member.term;
            it.effectiveAtMs = now;
            m_record.write("platform: " + idOf(it.member) + " leads term " +
                           std::to_string(it.term));
            report(it.member);
        }
    }
    for (size_t i = 0; i < m_members.size(); ++i) {
        Member &member = m_members[i];
        // The primary of the newest term that this member can reach.
        const size_t none = m_members.size();
        size_t newest = none;
        for (size_t j = 0; j < m_members.size(); ++j) {
            const bool isNewer = m_members[j].isPrimary && (i == j || canReach(i, j)) &&
                                 (newest == none || m_members[j].term > m_members[newest].term);
            newest = isNewer ? j : newest;
        }
        if (member.isPrimary && i == newest) {
            member.deposedAtMs = 0;
        }
        if (member.isPrimary && i != newest) {
            member.deposedAtMs = member.deposedAtMs == 0 ? now : member.deposedAtMs;
            if (now - member.deposedAtMs >= DeposedMs) {
                member.isPrimary = false;
                m_record.write("member " + idOf(i) + " follows the primary of a later term");
                report(i);
            }
        }
        if (!member.isPrimary && newest != none) {
            const Member &source = m_members[newest];
            // What the new primary has not received is rolled back.
            size_t common = 0;
            while (common < member.log.size() && common < source.log.size() &&
                   member.log[common].id == source.log[common].id &&
                   member.log[common].term == source.log[common].term) {
                ++common;
            }
            member.log.resize(common);
            while (member.log.size() < source.log.size() &&
                   now - source.log[member.log.size()].atMs >= ReplicationMs) {
                member.log.push_back(source.log[member.log.size()]);
            }
            member.term = source.term;
        }
        if (now - member.reportedAtMs >= HeartbeatMs) {
            report(i);
        }
    }
}

void Service::serve(size_t index, const std::shared_ptr<Stream> &stream)
{
    Session session;
    session.member = index;
    bool isStarted = false;
    while (const auto line = stream->line()) {
        const auto words = wordsOf(*line);
        std::string answer;
        bool isRefused = false;
        if (words[0] == "START" && words.size() >= 3 && !isStarted) {
            std::unique_lock lock(m_mutex);
            Member &member = m_members[index];
            isRefused = true;
            if (words[1] != m_name || (words.size() > 3 && words[3] != idOf(index))) {
                answer = "ERROR MISROUTED " + idOf(index) + "\r\n";
            } else if (member.connections >= ConnectionLimit) {
                answer = "ERROR TOOMANY " + idOf(index) + "\r\n";
            } else {
                isRefused = false;
                isStarted = true;
                ++member.connections;
                session.tenant = words[2];
                answer = ready(session);
                lock.unlock();
                sleepMs(12);
            }
        } else if (words[0] == "QUERY" && words.size() >= 3 && isStarted) {
            answer = run(session, words[1], line->substr(words[1].size() + 7));
        } else {
            break;
        }
        sleepMs(m_members[index].roundTripMs);
        const bool isCut = !answer.empty() && answer.back() == '\0';
        if (isCut) {
            answer.pop_back();
        }
        if (!stream->send(answer) || isRefused || isCut) {
            break;
        }
    }
    const std::lock_guard lock(m_mutex);
    m_members[index].connections -= isStarted ? 1 : 0;
}

// The end of an answer. The lock is held.
std::string Service::ready(const Session &session) const
{
    const Member &member = m_members[session.member];
    return std::string("READY ") + session.state + " " + std::to_string(member.term) + "." +
           std::to_string(member.log.size()) + "\r\n";
}

bool Service::work(std::unique_lock<std::mutex> &lock, Member &member)
{
    if (nowMs() < member.fullUntilMs || member.waiting >= QueueLength) {
        return false;
    }
    ++member.waiting;
    m_slotFreed.wait(lock, [&] { return member.busy < Slots; });
    --member.waiting;
    ++member.busy;
    lock.unlock();
    sleepMs(workMs);
    lock.lock();
    --member.busy;
    m_slotFreed.notify_all();
    return true;
}

std::string Service::run(Session &session, const std::string &id, std::string text)
{
    std::unique_lock lock(m_mutex);
    Member &member = m_members[session.member];
    auto words = wordsOf(text);
    std::string answer;
    if (words[0] == "AFTER" && words.size() > 2) {
        const size_t dot = words[1].find('.');
        const std::pair wanted(std::stoull(words[1].substr(0, dot)),
                               std::stoull(words[1].substr(dot + 1)));
        if (std::pair<unsigned long long, unsigned long long>(member.term, member.log.size()) <
            wanted) {
            answer = "ERROR LAGGING behind\r\n";
        }
        words.erase(words.begin(), words.begin() + 2);
    }
    const std::string &verb = words[0];
    const bool takesSlot = verb == "STATUS" || verb == "READ" || verb == "WRITE" ||
                           verb == "COMMIT" || verb == "EXECUTE";
    if (answer.empty() && verb != "STATUS" && id != "-") {
        m_record.write("member " + idOf(session.member) + " gets " + id + " " + text);
    }
    const bool isClients = id != "-";
    const int mishapped = isClients && mishap ? mishap(id) : 0;
    if (answer.empty() && takesSlot && (mishapped == 3 || !work(lock, member))) {
        answer = "ERROR BUSY full\r\n";
    }
    if (answer.empty() && isClients && extraWorkMs) {
        const int64_t extra = extraWorkMs(id);
        if (extra > 0) {
            lock.unlock();
            sleepMs(extra);
            lock.lock();
        }
    }
    if (answer.empty()) {
        answer = perform(session, id, words);
    }
    if (verb == "STATUS") {
        m_record.write("member " + idOf(session.member) + " answers STATUS " +
                       answer.substr(0, answer.find('\r')));
    }
    const bool hasFailed = answer.starts_with("ERROR");
    if (hasFailed && session.state == 'T') {
        session.state = 'E';
    }
    if (!hasFailed) {
        answer += id == "-" ? "DONE -\r\n" : "DONE sig." + id + "\r\n";
    }
    if (mishapped == 1) {
        return "";
    }
    if (mishapped == 2) {
        return answer.substr(0, answer.size() / 2) + '\0';
    }
    return answer + ready(session);
}

std::string Service::perform(Session &session, const std::string &id,
                             const std::vector<std::string> &words)
{
    Member &member = m_members[session.member];
    const std::string &verb = words[0];
    const auto status = [&] {
        return std::string("ROW ") + (member.isPrimary ? "primary " : "replica ") +
               std::to_string(member.term) + " " + std::to_string(member.term) + "." +
               std::to_string(member.log.size()) + " 0 8 " + std::to_string(member.busy) + " " +
               std::to_string(member.connections) + "\r\n";
    };
    if (verb == "STATUS") {
        return status();
    }
    if (verb == "DEMOTE" && words.size() > 1) {
        if (member.isPrimary && member.term < std::stoull(words[1])) {
            member.isPrimary = false;
            m_record.write("member " + idOf(session.member) + " is demoted");
            report(session.member);
        }
        return status();
    }
    if (session.state == 'E' && verb != "ROLLBACK" && verb != "COMMIT") {
        return "ERROR MALFORMED the transaction has failed\r\n";
    }
    if (verb == "RESET") {
        session.prepared.clear();
        return "";
    }
    if (verb == "SET") {
        return "";
    }
    if (verb == "PREPARE" && words.size() > 3) {
        session.prepared[words[1]] = {words[2] == "WRITE", words[3]};
        return "";
    }
    if (verb == "BEGIN") {
        session.isReadOnly = words.size() > 1;
        if (!session.isReadOnly && !member.isPrimary) {
            return "ERROR READONLY " + idOf(session.member) + "\r\n";
        }
        session.state = 'T';
        session.writes.clear();
        return "";
    }
    if (verb == "ROLLBACK") {
        session.state = 'I';
        session.writes.clear();
        return "";
    }
    if (verb == "COMMIT") {
        return commit(session, id);
    }
    if (verb == "EXECUTE" && words.size() > 1) {
        const auto it = session.prepared.find(words[1]);
        if (it == session.prepared.end()) {
            return "ERROR NOSTMT " + words[1] + "\r\n";
        }
        std::vector<std::string> plain(words.begin() + 1, words.end());
        plain[0] = it->second.first ? "WRITE" : "READ";
        return perform(session, id, plain);
    }
    const bool writes = verb == "WRITE";
    if (writes && words.size() > 2) {
        if (!member.isPrimary) {
            return "ERROR READONLY " + idOf(session.member) + "\r\n";
        }
        session.writes.push_back({id, words[1], words[2]});
        return session.state == 'T' ? "" : commit(session, id);
    }
    if (verb == "READ" && words.size() > 1) {
        for (auto it = member.log.rbegin(); it != member.log.rend(); ++it) {
            if (it->item == words[1]) {
                return "ROW " + it->data + "\r\n";
            }
        }
        return "";
    }
    return "ERROR MALFORMED " + verb + "\r\n";
}

std::string Service::commit(Session &session, const std::string &id)
{
    Member &member = m_members[session.member];
    const bool hasFailed = session.state == 'E';
    session.state = 'I';
    const auto writes = std::exchange(session.writes, {});
    if (hasFailed) {
        return "ERROR ABORTED the transaction has failed\r\n";
    }
    if (writes.empty()) {
        return "";
    }
    if (!member.isPrimary) {
        return "ERROR READONLY " + idOf(session.member) + "\r\n";
    }
    for (const auto &it : writes) {
        const Commit done{
            it.id,  id, it.item, it.data, session.member, member.term, member.log.size() + 1,
            nowMs()};
        member.log.push_back(done);
        m_commits.push_back(done);
        m_record.write("member " + idOf(session.member) + " commits " + it.id + " at " +
                       std::to_string(done.term) + "." + std::to_string(done.number));
    }
    return "";
}

std::unique_ptr<Client> Client::open(int port, const std::string &database, const std::string &key)
{
    const auto stream = connectTo(port);
    if (!stream || !stream->send("START " + database + " " + key + "\r\n")) {
        return nullptr;
    }
    const auto line = stream->line();
    if (!line || !line->starts_with("READY")) {
        return nullptr;
    }
    return std::unique_ptr<Client>(new Client(stream));
}

std::vector<std::string> Client::query(const std::string &id, const std::string &text)
{
    if (!m_stream->send("QUERY " + id + " " + text + "\r\n")) {
        return {};
    }
    std::vector<std::string> lines;
    while (auto line = m_stream->line()) {
        if (line->starts_with("READY ")) {
            m_state = line->at(6);
            return lines;
        }
        lines.push_back(std::move(*line));
    }
    return {};
}

World::World(const std::string &recordFile)
    : record(recordFile)
    , store(record)
    , service(store, record, "dahu75a")
{
    std::string folder = "/tmp/review-XXXXXX";
    m_folder = ::mkdtemp(folder.data());
    m_promotionPort = listenOn([this](const std::shared_ptr<Stream> &stream) {
        while (const auto request = readRequest(*stream)) {
            int status = 404;
            if (request->path == "/promotion") {
                const Json body = Json::parse(request->body);
                const auto &headers = request->headers;
                status = service.promote(body.at("id"), headers.at("x-gentianplank-duty-holder"),
                                         std::stoull(headers.at("x-gentianplank-fence-token")));
            }
            if (!stream->send(encodeAnswer(status, Json::object()))) {
                return;
            }
        }
    });
    putConfiguration(7, Json::array({{{"name", "nypu920"},
                                      {"api-keys", {"u6wsjnbanfqasnmgkcuy"}},
                                      {"priority", 1},
                                      {"rate-per-s", 2000},
                                      {"burst-size", 2000}}}));
}

// Threads of the stand-ins still run, so nothing is destroyed.
void World::exit(int status)
{
    stop();
    std::filesystem::remove_all(m_folder);
    std::cout.flush();
    ::_exit(status);
}

void World::putConfiguration(uint64_t version, const Json &tenants)
{
    const auto route = [&](const char *name, const char *host, const char *kind, int timeout,
                           int staleness) {
        Json it{{"name", name},          {"host", host},
                {"path-prefix", "/"},    {"route-kind", kind},
                {"timeout-ms", timeout}, {"target-latency-ms", 600},
                {"priority", 1},         {"service", service.name()},
                {"max-attempts", 2},     {"public", false}};
        if (staleness > 0) {
            it["max-staleness-ms"] = staleness;
        }
        return it;
    };
    const Json configuration{
        {"version", version},
        {"routes",
         {route("r-1", "lepu270", "primary", 1000, 0),
          route("r-2", "xapu221ny95", "bounded_staleness", 2000, 1500),
          route("r-3", "fiti832ti23", "read_your_writes", 1000, 2500)}},
        {"services",
         {{{"name", service.name()},
           {"health-path", "/health"},
           {"connection-limit", ConnectionLimit},
           {"sync-replicas", 0}}}},
        {"limits", {{"header-timeout-ms", 3000}, {"transaction-idle-ms", 3000}}},
        {"tenants", tenants}};
    store.put("op", "config", configuration.dump());
}

void World::start(Entry &entry)
{
    // The command of the deploy file, with a free port for the metrics.
    const std::string metrics = std::to_string(entry.metricsPort);
    const std::string log = m_folder + "/" + entry.name + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("GENTIANPLANK_NODE_FILE", entry.settingsFile.c_str(), 1);
        const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(fd, 1);
        ::dup2(fd, 2);
        ::execl("target/gentianplank/node/gentianplank-entry",
                "target/gentianplank/node/gentianplank-entry", "--metrics_port", metrics.c_str(),
                nullptr);
        ::_exit(127);
    }
    entry.pid = pid;
    record.write("started " + entry.name);
}

bool World::isReady(const Entry &entry) const
{
    const auto stream = connectTo(entry.readyPort);
    if (!stream || !stream->send("GET /readiness HTTP/1.1\r\nHost: entry\r\n\r\n")) {
        return false;
    }
    const auto line = stream->line();
    return line && line->find(" 200 ") != std::string::npos;
}

bool World::startEntries(size_t count)
{
    for (size_t i = 0; i < count; ++i) {
        Entry entry;
        const std::string zone = i % 2 == 0 ? "rs-sul-a" : "rs-sul-b";
        entry.name = "front-" + zone + "-" + std::to_string(i / 2 + 1);
        entry.clientPort = freePort();
        entry.readyPort = freePort();
        entry.peerPort = freePort();
        entry.metricsPort = freePort();
        entry.settingsFile = m_folder + "/" + entry.name + ".toml";
        std::ofstream out(entry.settingsFile);
        out << "node-name = \"" << entry.name << "\"\nrole = \"entry\"\nmachine-class = \"front\"\n"
            << "serves = [\"front\"]\nip = \"127.0.0.1\"\nzone = \"" << zone
            << "\"\nregion = \"rs-sul\"\ninternal-port-range = [" << entry.peerPort << ","
            << entry.peerPort << "]\nbootstrap = true\nheartbeat-interval-ms = " << HeartbeatMs
            << "\n[zones]\nrs-sul-a = \"rs-sul\"\nrs-sul-b = \"rs-sul\"\npr-norte-a = "
               "\"pr-norte\"\n"
            << "[listen-addresses]\nfront = \"127.0.0.1:" << entry.clientPort
            << "\"\nready = \"127.0.0.1:" << entry.readyPort
            << "\"\n[limits]\ncpu-share = 0.25\nmemory-mb = 260\nfile-descriptors = 4300\n"
            << "link-mbps = 1000.0\n[bounds]\nstability-window-ms = 5000\ndrain-ms = 7000\n"
            << "grace-s = 6\nconfig-apply-ms = 4000\nstrict-revocation = true\nrevoke-ms = 5000\n"
            << "quota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\n"
            << "fencing-enforced = false\n[platform]\naddress = \"127.0.0.1:" << store.port()
            << "\"\nform = \"table\"\n[cloud-api]\naddress = \"127.0.0.1:" << m_promotionPort
            << "\"\nduties = [\"promotion\"]\n";
        out.close();
        entries.push_back(entry);
        start(entries.back());
    }
    for (const int64_t until = nowMs() + 15000; nowMs() < until; sleepMs(50)) {
        if (std::all_of(entries.begin(), entries.end(),
                        [&](const Entry &it) { return isReady(it); })) {
            return true;
        }
    }
    return false;
}

void World::startWriters(size_t perEntry, const std::string &database)
{
    for (size_t i = 0; i < entries.size(); ++i) {
        for (size_t j = 0; j < perEntry; ++j) {
            m_writers.emplace_back([this, i, j, database] { writer(i, j, database); });
        }
    }
}

void World::writer(size_t entry, size_t number, const std::string &database)
{
    std::unique_ptr<Client> client;
    for (size_t n = 1; !m_isStopping; ++n) {
        if (!client) {
            client = Client::open(entries[entry].clientPort, database, "u6wsjnbanfqasnmgkcuy");
            if (!client) {
                sleepMs(50);
                continue;
            }
        }
        const std::string name =
            std::to_string(entry) + "." + std::to_string(number) + "." + std::to_string(n);
        ClientWrite write{"w" + name, "item" + name, "data" + name, nowMs(), 0, ""};
        record.write("client sends " + write.id + " WRITE " + write.item + " " + write.data);
        const auto lines = client->query(write.id, "WRITE " + write.item + " " + write.data);
        write.answeredAtMs = nowMs();
        write.answer = lines.empty() ? "" : lines.back();
        record.write("client gets " + write.id + " " +
                     (lines.empty() ? "the end of the connection" : write.answer));
        if (lines.empty()) {
            client = nullptr;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_writes.push_back(write);
        }
        sleepMs(20);
    }
}

void World::stop()
{
    m_isStopping = true;
    for (std::thread &it : m_writers) {
        it.join();
    }
    m_writers.clear();
    for (Entry &it : entries) {
        if (it.pid > 0) {
            ::kill(it.pid, SIGKILL);
            ::waitpid(it.pid, nullptr, 0);
            it.pid = 0;
        }
    }
}

// Writes that were committed at an old primary after a promote of another member had taken effect,
// and acknowledged to their clients.
size_t World::countOldPrimaryCommits()
{
    std::map<std::string, ClientWrite> acknowledged;
    for (const ClientWrite &it : writes()) {
        if (it.isAcknowledged()) {
            acknowledged[it.id] = it;
        }
    }
    size_t broken = 0;
    for (const Commit &commit : service.commits()) {
        for (const Promotion &it : service.promotions()) {
            const bool isOld = it.effectiveAtMs != 0 && it.member != commit.member &&
                               it.term > commit.term && commit.atMs > it.effectiveAtMs;
            if (isOld && acknowledged.count(commit.id) != 0) {
                ++broken;
                record.write("ONE broken: " + commit.id + " committed at " +
                             service.idOf(commit.member) + " in term " +
                             std::to_string(commit.term) + " at " + std::to_string(commit.atMs) +
                             " ms, after " + service.idOf(it.member) + " led term " +
                             std::to_string(it.term) + " from " + std::to_string(it.effectiveAtMs) +
                             " ms; acknowledged at " +
                             std::to_string(acknowledged[commit.id].answeredAtMs) + " ms");
                break;
            }
        }
    }
    const std::string summary = std::to_string(acknowledged.size()) + " writes acknowledged, " +
                                std::to_string(service.promotions().size()) + " promotions, " +
                                std::to_string(broken) +
                                " writes acknowledged that an old primary committed";
    record.write(summary);
    std::cout << summary << '\n';
    return broken;
}

std::vector<ClientWrite> World::writes()
{
    const std::lock_guard lock(m_mutex);
    return m_writes;
}

} // namespace review
