// Stand-ins of the platform, the members and the clients for the scripts under review/, written
// after the users' pages, and the start of the project's own program as separate processes.
//
// All addresses are loopback addresses. Each machine has an address of its own in 127.0.0.0/8, so
// that the ports are the same on all machines, as on the platform.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline void sleepMs(int64_t ms)
{
    std::this_thread::sleep_for(Ms(ms));
}

// Milliseconds since the start of the script, on the steady clock.
inline int64_t nowMs()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration_cast<Ms>(Clock::now() - start).count();
}

// The file record.txt: what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {}

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << nowMs() << " ms " << text << "\n";
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

// A TCP socket with blocking calls.
class Socket
{
public:
    explicit Socket(int fd = -1)
        : m_fd(fd)
    {
        if (fd >= 0) {
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        }
    }
    ~Socket() { close(); }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    static std::shared_ptr<Socket> connect(const std::string &ip, uint16_t port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto socket = std::make_shared<Socket>(fd);
        sockaddr_in address = addressOf(ip, port);
        if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
            return nullptr;
        }
        return socket;
    }

    static sockaddr_in addressOf(const std::string &ip, uint16_t port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        return address;
    }

    bool send(const std::string &bytes)
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            sent += static_cast<size_t>(n);
        }
        return true;
    }

    // Returns a line without its CR LF; nothing if the connection ended or the time is over.
    std::optional<std::string> readLine(int timeoutMs = -1)
    {
        const auto end = Clock::now() + Ms(timeoutMs);
        while (true) {
            const size_t at = m_buffer.find("\r\n");
            if (at != std::string::npos) {
                std::string line = m_buffer.substr(0, at);
                m_buffer.erase(0, at + 2);
                return line;
            }
            if (!fill(timeoutMs < 0 ? -1 : left(end))) {
                return std::nullopt;
            }
        }
    }

    std::optional<std::string> readBytes(size_t size)
    {
        while (m_buffer.size() < size) {
            if (!fill(-1)) {
                return std::nullopt;
            }
        }
        std::string bytes = m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return bytes;
    }

    // Ends the connection for both directions; a blocked read returns.
    void shut() { ::shutdown(m_fd, SHUT_RDWR); }

    // The next close sends a reset.
    void resetOnClose()
    {
        const linger value{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &value, sizeof value);
    }

    void close()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
            m_fd = -1;
        }
    }

private:
    static int left(Clock::time_point end)
    {
        const auto ms = std::chrono::duration_cast<Ms>(end - Clock::now()).count();
        return ms < 0 ? 0 : static_cast<int>(ms);
    }

    bool fill(int timeoutMs)
    {
        pollfd poller{m_fd, POLLIN, 0};
        if (::poll(&poller, 1, timeoutMs) <= 0) {
            return false;
        }
        char chunk[16384];
        const ssize_t n = ::recv(m_fd, chunk, sizeof chunk, 0);
        if (n <= 0) {
            return false;
        }
        m_buffer.append(chunk, static_cast<size_t>(n));
        return true;
    }

    int m_fd;
    std::string m_buffer;
};

// Accepts connections and serves each one on a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(const std::shared_ptr<Socket> &)>;

    // Port 0 selects a free one.
    Listener(std::string ip, uint16_t port, Serve serve, int backlog = 256)
        : m_ip(std::move(ip))
        , m_serve(std::move(serve))
    {
        open(port, backlog);
    }
    ~Listener() { stop(); }

    std::string address() const { return m_ip + ":" + std::to_string(m_port); }
    const std::string &ip() const { return m_ip; }
    uint16_t port() const { return m_port; }

    // Stops listening and resets all connections, as the kernel does for a process that died.
    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_fd < 0) {
                return;
            }
            ::shutdown(m_fd, SHUT_RDWR);
            m_isStopping = true;
            for (const auto &weak : m_open) {
                if (const auto socket = weak.lock()) {
                    socket->resetOnClose();
                    socket->shut();
                }
            }
        }
        m_thread.join();
        ::close(m_fd);
        m_fd = -1;
    }

    // Listens again at the same address.
    void start()
    {
        if (m_fd < 0) {
            open(m_port, 256);
        }
    }

    // While set, connections stay in the queue of new connections.
    std::atomic<bool> isHeld{false};

private:
    void open(uint16_t port, int backlog)
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in address = Socket::addressOf(m_ip, port);
        if (::bind(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 ||
            ::listen(m_fd, backlog) != 0) {
            std::fprintf(stderr, "can't listen at %s:%d: %s\n", m_ip.c_str(), port,
                         std::strerror(errno));
            std::exit(2);
        }
        socklen_t size = sizeof address;
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_isStopping = false;
        m_thread = std::thread([this] { run(); });
    }

    void run()
    {
        while (!m_isStopping) {
            if (isHeld) {
                sleepMs(2);
                continue;
            }
            pollfd poller{m_fd, POLLIN, 0};
            if (::poll(&poller, 1, 20) <= 0) {
                continue;
            }
            if (isHeld || m_isStopping) {
                continue;
            }
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                continue;
            }
            auto socket = std::make_shared<Socket>(fd);
            const std::lock_guard lock(m_mutex);
            m_open.remove_if([](const auto &it) { return it.expired(); });
            m_open.push_back(socket);
            std::thread([serve = m_serve, socket] { serve(socket); }).detach();
        }
    }

    std::string m_ip;
    Serve m_serve;
    uint16_t m_port = 0;
    int m_fd = -1;
    std::atomic<bool> m_isStopping{false};
    std::mutex m_mutex;
    std::list<std::weak_ptr<Socket>> m_open;
    std::thread m_thread;
};

struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    Json body = Json::object();
    // No answer at all; the connection stays silent.
    bool isLost = false;
};

inline std::string percentDecode(const std::string &text)
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

inline std::optional<HttpRequest> readHttp(Socket &socket)
{
    const auto first = socket.readLine();
    if (!first) {
        return std::nullopt;
    }
    std::istringstream words(*first);
    HttpRequest request;
    std::string target;
    words >> request.method >> target;
    const size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos) {
        std::istringstream pairs(target.substr(mark + 1));
        std::string pair;
        while (std::getline(pairs, pair, '&')) {
            const size_t equals = pair.find('=');
            request.query[pair.substr(0, equals)] =
                equals == std::string::npos ? "" : percentDecode(pair.substr(equals + 1));
        }
    }
    while (true) {
        const auto line = socket.readLine();
        if (!line) {
            return std::nullopt;
        }
        if (line->empty()) {
            break;
        }
        const size_t colon = line->find(':');
        std::string name = line->substr(0, colon);
        for (char &c : name) {
            c = static_cast<char>(std::tolower(c));
        }
        const size_t start = line->find_first_not_of(' ', colon + 1);
        request.headers[name] = start == std::string::npos ? "" : line->substr(start);
    }
    const auto length = request.headers.find("content-length");
    if (length != request.headers.end()) {
        const auto body = socket.readBytes(std::stoul(length->second));
        if (!body) {
            return std::nullopt;
        }
        request.body = *body;
    }
    return request;
}

inline void serveHttp(Socket &socket,
                      const std::function<HttpResponse(const HttpRequest &)> &handle)
{
    while (const auto request = readHttp(socket)) {
        const HttpResponse response = handle(*request);
        if (response.isLost) {
            while (socket.readBytes(1)) {
            }
            return;
        }
        const std::string body = response.body.dump();
        if (!socket.send("HTTP/1.1 " + std::to_string(response.status) + " X\r\n" +
                         "Content-Type: application/json\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body)) {
            return;
        }
    }
}

inline std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t bits = 0;
        const size_t n = std::min<size_t>(3, bytes.size() - i);
        for (size_t j = 0; j < 3; ++j) {
            bits = (bits << 8U) | (j < n ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (size_t j = 0; j < 4; ++j) {
            text += j <= n ? digits[(bits >> (18 - 6 * j)) & 63U] : '=';
        }
    }
    return text;
}

// The platform's store: rows with versions, transactions, ranges and feeds.
class Store
{
public:
    struct Row
    {
        std::string value;
        uint64_t version = 0;
        bool isErased = false;
    };

    // Runs before a call is handled; `way` names the machine's own way to the store.
    std::function<std::optional<HttpResponse>(const std::string &way, const HttpRequest &)> before;

    HttpResponse handle(const std::string &way, const HttpRequest &request)
    {
        if (before) {
            if (auto response = before(way, request)) {
                return *response;
            }
        }
        sleepMs(4);
        if (request.path == "/rows-tx") {
            return transact(Json::parse(request.body));
        }
        if (request.path == "/rows-get") {
            return range(request.query);
        }
        if (request.path == "/rows-feed") {
            return feed(request.query);
        }
        return {404, Json::object()};
    }

    // Writes a row for the operator or a member; `value` is its document.
    uint64_t put(const std::string &table, const std::string &key, const Json &value)
    {
        const std::lock_guard lock(m_mutex);
        m_rows[{table, key}] = {base64(value.dump()), ++m_version, false};
        m_changed.notify_all();
        return m_version;
    }

    void erase(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        m_rows[{table, key}] = {"", ++m_version, true};
        m_changed.notify_all();
    }

private:
    static Json encode(const std::pair<std::string, std::string> &name, const Row &row)
    {
        Json json{{"table", name.first},
                  {"part", ""},
                  {"key", name.second},
                  {"row-version", row.version}};
        if (row.isErased) {
            json["tombstone"] = true;
        } else {
            json["value"] = row.value;
        }
        return json;
    }

    Json envelope() const
    {
        const auto steady = std::chrono::duration_cast<Ms>(Clock::now().time_since_epoch());
        return {{"rows", Json::array()},
                {"row-version", m_version},
                {"has-more", false},
                {"now-ms", steady.count()}};
    }

    HttpResponse transact(const Json &body)
    {
        const std::lock_guard lock(m_mutex);
        Json current = envelope();
        bool holds = true;
        for (const Json &it : body.at("expected")) {
            const std::pair<std::string, std::string> name{it.at("table"), it.at("key")};
            const auto row = m_rows.find(name);
            const bool exists = row != m_rows.end() && !row->second.isErased;
            holds =
                holds && it.at("row-version").get<uint64_t>() == (exists ? row->second.version : 0);
            if (exists) {
                current["rows"].push_back(encode(name, row->second));
            }
        }
        if (!holds) {
            return {412, current};
        }
        ++m_version;
        for (const Json &it : body.at("writes")) {
            m_rows[{it.at("table"), it.at("key")}] = {it.at("value"), m_version, false};
        }
        for (const Json &it : body.at("deletes")) {
            m_rows[{it.at("table"), it.at("key")}] = {"", m_version, true};
        }
        m_changed.notify_all();
        return {200, envelope()};
    }

    HttpResponse range(const std::map<std::string, std::string> &query) const
    {
        const std::lock_guard lock(m_mutex);
        Json body = envelope();
        const auto from = query.find("from");
        for (const auto &[name, row] : m_rows) {
            if (name.first == query.at("table") && !row.isErased &&
                (from == query.end() || name.second >= from->second)) {
                body["rows"].push_back(encode(name, row));
            }
        }
        return {200, body};
    }

    HttpResponse feed(const std::map<std::string, std::string> &query)
    {
        std::unique_lock lock(m_mutex);
        const uint64_t after = std::stoull(query.at("after"));
        const auto end = Clock::now() + Ms(std::stoll(query.at("wait-ms")));
        while (true) {
            std::map<uint64_t, std::vector<Json>> changes;
            for (const auto &[name, row] : m_rows) {
                if (name.first == query.at("table") && row.version > after) {
                    changes[row.version].push_back(encode(name, row));
                }
            }
            if (!changes.empty() || Clock::now() >= end) {
                Json body = envelope();
                for (const auto &[version, rows] : changes) {
                    for (const Json &row : rows) {
                        body["rows"].push_back(row);
                    }
                }
                return {200, body};
            }
            m_changed.wait_until(lock, end);
        }
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::pair<std::string, std::string>, Row> m_rows;
    uint64_t m_version = 1;
};

struct Position
{
    uint64_t term = 1;
    uint64_t number = 0;

    auto operator<=>(const Position &) const = default;
    std::string text() const { return std::to_string(term) + "." + std::to_string(number); }
};

struct Commit
{
    Position position;
    std::string requestId;
    std::map<std::string, std::string> writes;
};

// One run of a write or a commit at a member.
// One statement of a client that a member ran.
struct Run
{
    int64_t atMs = 0;
    std::string member;
    std::string requestId;
    // The tenant that the member was told.
    std::string tenant;
    std::string text;
};

// One run of a write or a commit at a member.
struct CommittedWrite
{
    int64_t atMs = 0;
    std::string member;
    Position position;
    std::string requestId;
};

// A service: a primary and its replicas, after the page about members. One mutex guards all.
class Group
{
public:
    struct Settings
    {
        std::string name;
        uint32_t connectionLimit = 34;
        int64_t workMs = 8;
        int64_t replicationMs = 8;
        int64_t promoteMs = 1000;
    };

    struct Member
    {
        std::string id;
        std::string zone;
        std::unique_ptr<Listener> listener;
        bool isUp = true;
        bool isPrimary = false;
        uint64_t term = 1;
        std::vector<Commit> log;
        int connections = 0;
        bool isDraining = false;
        int64_t born = 0;
        uint64_t sequence = 0;
    };

    struct Promotion
    {
        int64_t effectMs = 0;
        std::string member;
        uint64_t term = 0;
    };

    Group(Settings settings, Record &record)
        : m_settings(std::move(settings))
        , m_record(record)
    {}

    void add(const std::string &id, const std::string &zone, const std::string &ip, bool isPrimary)
    {
        auto member = std::make_unique<Member>();
        member->id = id;
        member->zone = zone;
        member->isPrimary = isPrimary;
        member->born = 1780000000000 + static_cast<int64_t>(m_members.size());
        Member *it = member.get();
        if (!m_members.empty()) {
            const std::lock_guard lock(m_mutex);
            for (const auto &[name, other] : m_members) {
                if (other->isPrimary) {
                    it->term = other->term;
                    it->log = other->log;
                }
            }
        }
        member->listener = std::make_unique<Listener>(
            ip, 0, [this, it](const std::shared_ptr<Socket> &socket) { serve(*it, *socket); });
        const std::lock_guard lock(m_mutex);
        m_members[id] = std::move(member);
    }

    Json entry(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        Member &it = *m_members.at(id);
        return {{"service", m_settings.name},
                {"address", it.listener->address()},
                {"zone", it.zone},
                {"version", "v1"},
                {"slot-count", 3},
                {"state", it.isDraining ? "draining" : "ready"},
                {"cold-remaining-ms", 0},
                {"database-role", it.isPrimary ? "primary" : "replica"},
                {"sequence", ++it.sequence},
                {"born", it.born}};
    }

    // Called with a member's id when it reports a change of itself.
    std::function<void(const std::string &id)> onReport;

    void drain(const std::string &id)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_members.at(id)->isDraining = true;
        }
        m_record.line("member " + id + " reports draining");
        onReport(id);
    }

    void crash(const std::string &id)
    {
        Member &it = *m_members.at(id);
        {
            const std::lock_guard lock(m_mutex);
            it.isUp = false;
        }
        m_record.line("member " + id + " crashes");
        it.listener->stop();
    }

    // Makes the member the primary of the next term after some time, with what it has received.
    void promote(const std::string &id)
    {
        std::thread([this, id] {
            sleepMs(m_settings.promoteMs);
            takeLead(id);
        }).detach();
    }

    bool isUp(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_members.find(id);
        return it != m_members.end() && it->second->isUp;
    }

    bool isPrimary(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_members.at(id)->isPrimary;
    }

    std::vector<std::string> ids()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::string> names;
        for (const auto &[id, member] : m_members) {
            names.push_back(id);
        }
        return names;
    }

    std::vector<CommittedWrite> writes()
    {
        const std::lock_guard lock(m_mutex);
        return m_writes;
    }

    std::vector<Run> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

    std::vector<Promotion> promotions()
    {
        const std::lock_guard lock(m_mutex);
        return m_promotions;
    }

    // The item's value at the newest primary, and whether its log has the write of an id.
    bool holdsWrite(const std::string &requestId)
    {
        const std::lock_guard lock(m_mutex);
        const Member *newest = nullptr;
        for (const auto &[id, member] : m_members) {
            if (member->isPrimary && (newest == nullptr || newest->term < member->term)) {
                newest = member.get();
            }
        }
        for (const Commit &it : newest->log) {
            if (it.requestId == requestId) {
                return true;
            }
        }
        return false;
    }

private:
    struct Session
    {
        bool isOpen = false;
        bool isFailed = false;
        bool isReadOnly = false;
        std::map<std::string, std::string> writes;
        std::map<std::string, std::pair<bool, std::string>> prepared;
    };

    static Position positionOf(const Member &member)
    {
        return member.log.empty() ? Position{member.term, 0} : member.log.back().position;
    }

    // Called with m_mutex held.
    void takeLeadLocked(Member &leader)
    {
        uint64_t term = 0;
        for (const auto &[id, member] : m_members) {
            term = std::max(term, member->term);
        }
        leader.isPrimary = true;
        leader.term = term + 1;
        m_promotions.push_back({nowMs(), leader.id, leader.term});
        m_record.line("member " + leader.id + " leads term " + std::to_string(leader.term) +
                      " with position " + positionOf(leader).text());
    }

    void takeLead(const std::string &id)
    {
        uint64_t term = 0;
        {
            const std::lock_guard lock(m_mutex);
            Member &leader = *m_members.at(id);
            if (!leader.isUp || leader.isPrimary) {
                return;
            }
            takeLeadLocked(leader);
            term = leader.term;
            // The replicas follow the new primary; those that were ahead are rolled back.
            for (const auto &[name, member] : m_members) {
                if (member->isUp && !member->isPrimary) {
                    member->term = leader.term;
                    member->log = leader.log;
                }
            }
        }
        onReport(id);
        // An old primary continues until a second after it can reach the new one.
        sleepMs(1000);
        stepDown(term);
    }

    // Primaries of lower terms become replicas.
    void stepDown(uint64_t term)
    {
        std::vector<std::string> changed;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &[name, member] : m_members) {
                if (member->isUp && member->isPrimary && member->term < term) {
                    becomeReplicaLocked(*member);
                    changed.push_back(name);
                }
            }
        }
        for (const std::string &name : changed) {
            onReport(name);
        }
    }

    void becomeReplicaLocked(Member &old)
    {
        old.isPrimary = false;
        const Member *newest = nullptr;
        for (const auto &[name, member] : m_members) {
            if (member->isPrimary && (newest == nullptr || newest->term < member->term)) {
                newest = member.get();
            }
        }
        if (newest != nullptr) {
            old.term = newest->term;
            old.log = newest->log;
        }
        m_record.line("member " + old.id + " becomes a replica");
    }

    void commitLocked(Member &member, const std::string &requestId,
                      std::map<std::string, std::string> writes)
    {
        const Position position{member.term, positionOf(member).number + 1};
        member.log.push_back({position, requestId, std::move(writes)});
        m_writes.push_back({nowMs(), member.id, position, requestId});
        m_record.line("member " + member.id + " commits " + requestId + " at " + position.text());
        // Replicas receive the log in order.
        std::thread([this, id = member.id, term = member.term, size = member.log.size()] {
            sleepMs(m_settings.replicationMs);
            const std::lock_guard lock(m_mutex);
            const std::vector<Commit> &log = m_members.at(id)->log;
            if (m_members.at(id)->term != term) {
                return;
            }
            for (const auto &[name, it] : m_members) {
                while (it->isUp && !it->isPrimary && it->term == term && it->log.size() < size) {
                    it->log.push_back(log[it->log.size()]);
                }
            }
        }).detach();
    }

    void serve(Member &member, Socket &socket)
    {
        const auto first = socket.readLine();
        if (!first) {
            return;
        }
        std::istringstream words(*first);
        std::string word;
        std::string service;
        std::string who;
        std::string id;
        words >> word >> service >> who >> id;
        {
            std::unique_lock lock(m_mutex);
            std::string error;
            if (word != "START" || service != m_settings.name || (!id.empty() && id != member.id)) {
                error = "ERROR MISROUTED " + member.id + "\r\n";
            } else if (member.connections >= static_cast<int>(m_settings.connectionLimit)) {
                error = "ERROR TOOMANY " + member.id + "\r\n";
            }
            if (!error.empty()) {
                lock.unlock();
                socket.send(error);
                return;
            }
            ++member.connections;
        }
        sleepMs(12);
        Session session;
        if (socket.send("READY I " + currentPosition(member) + "\r\n")) {
            while (const auto line = socket.readLine()) {
                const auto answer = query(member, session, who, *line);
                if (!answer || !socket.send(*answer)) {
                    break;
                }
            }
        }
        const std::lock_guard lock(m_mutex);
        --member.connections;
    }

    std::string currentPosition(const Member &member)
    {
        const std::lock_guard lock(m_mutex);
        return positionOf(member).text();
    }

    std::optional<std::string> query(Member &member, Session &session, const std::string &who,
                                     const std::string &line)
    {
        std::istringstream words(line);
        std::string word;
        std::string id;
        words >> word >> id;
        if (word != "QUERY") {
            return std::nullopt;
        }
        std::string text = line.size() > 6 + id.size() + 1 ? line.substr(6 + id.size() + 1) : "";
        const bool takesSlot = id != "-";
        if (takesSlot) {
            sleepMs(m_settings.workMs);
            m_record.line("member " + member.id + " runs " + id + " of " + who + ": " + text);
        }
        const std::lock_guard lock(m_mutex);
        if (takesSlot) {
            m_runs.push_back({nowMs(), member.id, id, who, text});
        }
        if (!member.isUp) {
            return std::nullopt;
        }
        std::string rows;
        std::string error = run(member, session, id, text, rows);
        if (!error.empty() && session.isOpen) {
            session.isFailed = true;
        }
        const std::string state = !session.isOpen ? "I" : session.isFailed ? "E" : "T";
        const std::string done =
            error.empty() ? "DONE " + (id == "-" ? "-" : "s." + id) : "ERROR " + error;
        return rows + done + "\r\nREADY " + state + " " + positionOf(member).text() + "\r\n";
    }

    std::string value(const Member &member, const Session &session, const std::string &item) const
    {
        const auto own = session.writes.find(item);
        if (own != session.writes.end()) {
            return own->second;
        }
        for (auto it = member.log.rbegin(); it != member.log.rend(); ++it) {
            const auto written = it->writes.find(item);
            if (written != it->writes.end()) {
                return written->second;
            }
        }
        return "-";
    }

    // Returns the error's code and text; empty on success.
    std::string run(Member &member, Session &session, const std::string &id, std::string text,
                    std::string &rows)
    {
        std::istringstream words(text);
        std::string verb;
        words >> verb;
        if (verb == "AFTER") {
            Position wanted;
            char dot = 0;
            words >> wanted.term >> dot >> wanted.number >> verb;
            if (positionOf(member) < wanted) {
                return "LAGGING " + member.id;
            }
        }
        if (session.isFailed && verb != "ROLLBACK" && verb != "COMMIT") {
            return "MALFORMED the transaction failed";
        }
        std::string item;
        std::string data;
        if (verb == "EXECUTE") {
            std::string name;
            words >> name;
            const auto it = session.prepared.find(name);
            if (it == session.prepared.end()) {
                return "NOSTMT " + name;
            }
            verb = it->second.first ? "WRITE" : "READ";
        }
        if (verb == "STATUS" || verb == "DEMOTE" || verb == "PAUSE" || verb == "RESUME") {
            uint64_t term = 0;
            words >> term;
            if (verb == "DEMOTE" && member.isPrimary && member.term < term) {
                becomeReplicaLocked(member);
            }
            rows = std::string("ROW ") + (member.isPrimary ? "primary " : "replica ") +
                   std::to_string(member.term) + " " + positionOf(member).text() + " 0 1 0 " +
                   std::to_string(member.connections) + "\r\n";
            return "";
        }
        if (verb == "SET" || verb == "DEALLOCATE") {
            return "";
        }
        if (verb == "RESET") {
            session.prepared.clear();
            return "";
        }
        if (verb == "PREPARE") {
            std::string name;
            std::string mode;
            std::string shape;
            words >> name >> mode >> shape;
            session.prepared[name] = {mode == "WRITE", shape};
            return "";
        }
        if (verb == "BEGIN") {
            std::string mode;
            words >> mode;
            session.isReadOnly = mode == "READ";
            if (!session.isReadOnly && !member.isPrimary) {
                return "READONLY " + member.id;
            }
            session.isOpen = true;
            session.isFailed = false;
            session.writes.clear();
            return "";
        }
        if (verb == "ROLLBACK" || verb == "COMMIT") {
            const bool commits = verb == "COMMIT" && !session.isFailed && !session.writes.empty();
            const bool failed = session.isFailed && verb == "COMMIT";
            session.isOpen = false;
            session.isFailed = false;
            const auto written = std::move(session.writes);
            session.writes.clear();
            if (failed) {
                return "ABORTED the transaction failed";
            }
            if (commits && !member.isPrimary) {
                return "READONLY " + member.id;
            }
            if (commits) {
                commitLocked(member, id, written);
            }
            return "";
        }
        words >> item >> data;
        if (verb == "READ") {
            rows = "ROW " + value(member, session, item) + "\r\n";
            return "";
        }
        if (verb == "WRITE") {
            if (!member.isPrimary) {
                return "READONLY " + member.id;
            }
            if (session.isOpen) {
                session.writes[item] = data;
            } else {
                commitLocked(member, id, {{item, data}});
            }
            return "";
        }
        return "MALFORMED " + verb;
    }

    Settings m_settings;
    Record &m_record;
    std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Member>> m_members;
    std::vector<CommittedWrite> m_writes;
    std::vector<Run> m_runs;
    std::vector<Promotion> m_promotions;
};

// A machine of the system: one process of the project's own program.
struct Machine
{
    std::string name;
    std::string zone;
    std::string ip;
    pid_t pid = -1;
    // The machine's own way to the store.
    std::unique_ptr<Listener> storeWay;
};

struct Answer
{
    // DONE, the code of an ERROR, or "broken".
    std::string word;
    std::string rows;
    std::string line;
    bool succeeded() const { return word == "DONE"; }
};

// A client's session.
class Session
{
public:
    bool start(const std::string &ip, uint16_t port, const std::string &database,
               const std::string &key)
    {
        m_socket = Socket::connect(ip, port);
        if (!m_socket || !m_socket->send("START " + database + " " + key + "\r\n")) {
            return false;
        }
        const auto line = m_socket->readLine(2000);
        if (!line || line->rfind("READY", 0) != 0) {
            m_socket = nullptr;
            return false;
        }
        return true;
    }

    bool isOpen() const { return m_socket != nullptr; }

    Answer query(const std::string &id, const std::string &text, int timeoutMs = 4000)
    {
        Answer answer;
        answer.word = "broken";
        if (!m_socket || !m_socket->send("QUERY " + id + " " + text + "\r\n")) {
            m_socket = nullptr;
            return answer;
        }
        std::string last;
        while (const auto line = m_socket->readLine(timeoutMs)) {
            if (line->rfind("READY", 0) == 0) {
                answer.word = last;
                return answer;
            }
            if (line->rfind("ROW ", 0) == 0) {
                answer.rows += line->substr(4) + "\n";
            } else if (line->rfind("DONE", 0) == 0) {
                last = "DONE";
            } else if (line->rfind("ERROR ", 0) == 0) {
                last = line->substr(6, line->find(' ', 6) - 6);
                answer.line = *line;
            }
        }
        m_socket = nullptr;
        return answer;
    }

    void close() { m_socket = nullptr; }

private:
    std::shared_ptr<Socket> m_socket;
};

// One operation of a client as the client saw it.
struct Operation
{
    std::string id;
    std::string text;
    int64_t sentMs = 0;
    int64_t answeredMs = 0;
    std::string word;
    std::string rows;
};

// All of it together: the platform, one group, the machines and their clients.
class World
{
public:
    struct Settings
    {
        // The folder of the case, for record.txt, and a temporary one.
        std::string folder;
        std::string temporary;
        std::string program;
        // The machines as pairs of zone and number.
        std::vector<std::pair<std::string, int>> zones;
        std::map<std::string, std::string> regions;
        int64_t promoteMs = 1000;
    };

    explicit World(Settings settings)
        : m_settings(std::move(settings))
        , record(m_settings.folder + "/record.txt")
        , group({"g1", 34, 8, 8, m_settings.promoteMs}, record)
    {
        std::random_device device;
        m_net = "127." + std::to_string(20 + device() % 200) + "." +
                std::to_string(device() % 250) + ".";
        group.onReport = [this](const std::string &id) { report(id); };
        cloud = std::make_unique<Listener>(
            m_net + "2", 0, [this](const std::shared_ptr<Socket> &socket) { serveCloud(*socket); },
            8);
    }

    ~World() { endAll(); }

    std::string address(int n) const { return m_net + std::to_string(n); }

    void report(const std::string &id)
    {
        if (group.isUp(id)) {
            store.put("servers", id, group.entry(id));
        }
    }

    static Json tenant(const std::string &name, const std::vector<std::string> &keys)
    {
        return {{"name", name},
                {"api-keys", keys},
                {"priority", 1},
                {"rate-per-s", 300},
                {"burst-size", 300}};
    }

    static Json route(const std::string &name, const std::string &host, const std::string &kind,
                      int timeoutMs, int objectiveMs, int priority)
    {
        Json json{{"name", name},
                  {"host", host},
                  {"path-prefix", "/"},
                  {"route-kind", kind},
                  {"timeout-ms", timeoutMs},
                  {"target-latency-ms", objectiveMs},
                  {"priority", priority},
                  {"service", "g1"},
                  {"max-attempts", 2},
                  {"public", false}};
        if (kind != "primary") {
            json["max-staleness-ms"] = kind == "read_your_writes" ? 2500 : 1500;
        }
        return json;
    }

    // Writes the next version; the store's answer acknowledges it.
    void putConfiguration(const Json &extra = Json::object())
    {
        Json configuration{
            {"version", ++m_configVersion},
            {"routes",
             {route("r-1", "db1", "primary", 1000, 600, 1),
              route("r-2", "db2", "read_your_writes", 1000, 1000, 2),
              route("r-3", "db3", "bounded_staleness", 2000, 1200, 2)}},
            {"services",
             {{{"name", "g1"},
               {"health-path", "/health"},
               {"connection-limit", 34},
               {"protocol", "h1"},
               {"tls", false},
               {"sync-replicas", 0}}}},
            {"tenants", {tenant("t1", {"key-1", "key-1b"}), tenant("t2", {"key-2"})}},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 262144},
              {"header-timeout-ms", 3000},
              {"idle-timeout-ms", 15000},
              {"transaction-idle-ms", 3000}}}};
        configuration.update(extra);
        store.put("op", "config", configuration);
        record.line("operator: the store has acknowledged version " +
                    std::to_string(m_configVersion) + " of the configuration");
    }

    // Adds the members of the group, starts the machines and waits until all are ready.
    void start()
    {
        int n = 100;
        for (const auto &[zone, count] : m_settings.zones) {
            group.add("i-" + std::to_string(n), zone, address(n), n == 100);
            ++n;
        }
        for (const std::string &id : group.ids()) {
            report(id);
        }
        putConfiguration();
        int ip = 10;
        for (const auto &[zone, count] : m_settings.zones) {
            for (int i = 1; i <= count; ++i) {
                auto machine = std::make_unique<Machine>();
                machine->name = "front-" + zone + "-" + std::to_string(i);
                machine->zone = zone;
                machine->ip = address(ip++);
                const std::string name = machine->name;
                machine->storeWay = std::make_unique<Listener>(
                    address(3), 0, [this, name](const std::shared_ptr<Socket> &socket) {
                        serveHttp(*socket, [this, &name](const HttpRequest &request) {
                            return store.handle(name, request);
                        });
                    });
                machines[name] = std::move(machine);
            }
        }
        for (const auto &[name, machine] : machines) {
            launch(*machine);
        }
        for (const auto &[name, machine] : machines) {
            if (!awaitReady(*machine, 20000)) {
                fail("machine " + name + " is not ready");
            }
        }
        record.line("all machines are ready");
    }

    void launch(Machine &machine)
    {
        const std::string file = m_settings.temporary + "/" + machine.name + ".toml";
        writeSettings(machine, file);
        machine.pid = ::fork();
        if (machine.pid == 0) {
            // Ends with the script, also when that is killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("GENTIANPLANK_NODE_FILE", file.c_str(), 1);
            const std::string log = m_settings.temporary + "/" + machine.name + ".log";
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::execl(m_settings.program.c_str(), m_settings.program.c_str(), "--metrics_port",
                    "9464", nullptr);
            ::_exit(127);
        }
        record.line("machine " + machine.name + " starts as process " +
                    std::to_string(machine.pid));
    }

    void signal(const std::string &name, int number)
    {
        record.line("machine " + name + " gets signal " + std::to_string(number));
        ::kill(machines.at(name)->pid, number);
    }

    bool isReady(const Machine &machine)
    {
        const auto socket = Socket::connect(machine.ip, ReadyPort);
        if (!socket || !socket->send("GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")) {
            return false;
        }
        const auto line = socket->readLine(500);
        return line && line->find(" 200") != std::string::npos;
    }

    bool awaitReady(const Machine &machine, int64_t withinMs)
    {
        const int64_t end = nowMs() + withinMs;
        while (nowMs() < end) {
            if (isReady(machine)) {
                return true;
            }
            sleepMs(50);
        }
        return false;
    }

    // Runs a client that sends an operation each `gapMs` through a machine until stopped.
    void addClient(const std::string &machine, const std::string &database, const std::string &key,
                   std::function<std::string(uint64_t n)> text, int64_t gapMs)
    {
        m_clients.emplace_back([this, machine, database, key, text = std::move(text), gapMs] {
            Session session;
            uint64_t n = 0;
            while (!m_stopsClients) {
                if (!session.isOpen() &&
                    !session.start(machines.at(machine)->ip, FrontPort, database, key)) {
                    sleepMs(100);
                    continue;
                }
                Operation operation;
                operation.id = newId();
                operation.text = text(n++);
                operation.sentMs = nowMs();
                const Answer answer = session.query(operation.id, operation.text);
                operation.answeredMs = nowMs();
                operation.word = answer.word;
                operation.rows = answer.rows;
                record.line("client at " + machine + " sent " + operation.id + " at " +
                            std::to_string(operation.sentMs) + ": " + operation.text + " -> " +
                            (answer.word == "DONE" ? "DONE" : answer.word + " " + answer.line));
                {
                    const std::lock_guard lock(m_mutex);
                    m_operations.push_back(operation);
                }
                sleepMs(gapMs);
            }
        });
    }

    void stopClients()
    {
        m_stopsClients = true;
        for (std::thread &it : m_clients) {
            it.join();
        }
        m_clients.clear();
    }

    std::vector<Operation> operations()
    {
        const std::lock_guard lock(m_mutex);
        return m_operations;
    }

    std::string newId()
    {
        const std::lock_guard lock(m_mutex);
        char text[32];
        std::snprintf(text, sizeof text, "%08llx%08llx",
                      static_cast<unsigned long long>(m_random() & 0xffffffffU),
                      static_cast<unsigned long long>(++m_lastId));
        return text;
    }

    [[noreturn]] void fail(const std::string &what)
    {
        record.line("could not run: " + what);
        std::fprintf(stderr, "could not run: %s\n", what.c_str());
        endAll();
        std::_Exit(2);
    }

    // Ends the script with the result; 1 if the rule was broken.
    [[noreturn]] void end(bool isBroken, const std::string &what)
    {
        record.line(std::string(isBroken ? "RULE BROKEN: " : "rule held: ") + what);
        std::printf("%s: %s\n", isBroken ? "rule broken" : "rule held", what.c_str());
        std::fflush(stdout);
        endAll();
        std::_Exit(isBroken ? 1 : 0);
    }

    void endAll()
    {
        for (const auto &[name, machine] : machines) {
            if (machine->pid > 0) {
                ::kill(machine->pid, SIGCONT);
                ::kill(machine->pid, SIGKILL);
                ::waitpid(machine->pid, nullptr, 0);
                machine->pid = -1;
            }
        }
    }

    // A call of POST /promotion as the platform saw it.
    struct PromotionCall
    {
        int64_t atMs = 0;
        std::string holder;
        uint64_t token = 0;
        std::string member;
        int status = 0;
    };

    std::vector<PromotionCall> promotionCalls()
    {
        const std::lock_guard lock(m_mutex);
        return m_promotionCalls;
    }

    // Whether a call carried a lower token than an earlier one.
    std::optional<std::string> lowerToken()
    {
        uint64_t highest = 0;
        for (const PromotionCall &it : promotionCalls()) {
            if (it.token < highest) {
                return "promotion call of " + it.holder + " with token " +
                       std::to_string(it.token) + " at " + std::to_string(it.atMs) +
                       " ms, after the platform had seen token " + std::to_string(highest);
            }
            highest = std::max(highest, it.token);
        }
        return std::nullopt;
    }

    static constexpr uint16_t FrontPort = 8465;
    static constexpr uint16_t ReadyPort = 8460;

private:
    Settings m_settings;

public:
    Record record;
    Store store;
    Group group;
    std::unique_ptr<Listener> cloud;
    std::map<std::string, std::unique_ptr<Machine>> machines;
    // Runs when a promotion call was read, before it is performed.
    std::function<void(const PromotionCall &)> onPromotionCall;

private:
    void serveCloud(Socket &socket)
    {
        serveHttp(socket, [this](const HttpRequest &request) {
            const Json body = Json::parse(request.body);
            PromotionCall call;
            call.atMs = nowMs();
            call.holder = request.headers.at("x-gentianplank-duty-holder");
            call.token = std::stoull(request.headers.at("x-gentianplank-fence-token"));
            call.member = body.at("id");
            call.status = group.isUp(call.member) ? 200 : 409;
            record.line("platform: promotion of " + call.member + " by " + call.holder +
                        " with token " + std::to_string(call.token) + " -> " +
                        std::to_string(call.status));
            {
                const std::lock_guard lock(m_mutex);
                m_promotionCalls.push_back(call);
            }
            if (onPromotionCall) {
                onPromotionCall(call);
            }
            if (call.status == 200) {
                group.promote(call.member);
            }
            return HttpResponse{call.status, Json::object()};
        });
    }

    void writeSettings(const Machine &machine, const std::string &file)
    {
        std::ofstream out(file);
        const std::string zone = machine.zone;
        out << "node-name = \"" << machine.name << "\"\nrole = \"entry\"\n"
            << "machine-class = \"front\"\nserves = [\"front\"]\nip = \"" << machine.ip << "\"\n"
            << "zone = \"" << zone << "\"\nregion = \"" << m_settings.regions.at(zone) << "\"\n"
            << "internal-port-range = [7560,7575]\nseed-nodes = []\nbootstrap = true\n"
            << "tolerance-counted = false\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\n"
            << "heartbeat-interval-ms = 1200\n"
            << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\","
            << "\"tenants\",\"quota\",\"platform\"]\n[zones]\n";
        for (const auto &[name, region] : m_settings.regions) {
            out << name << " = \"" << region << "\"\n";
        }
        out << "[listen-addresses]\nfront = \"" << machine.ip << ":" << FrontPort
            << "\"\nready = \"" << machine.ip << ":" << ReadyPort << "\"\n"
            << "[limits]\ncpu-share = 0.25\ncpu-cores = 1\nmemory-mb = 260\n"
            << "file-descriptors = 4300\nlink-mbps = 1000.0\ndisk-mb = 0\n"
            << "[fault-tolerance]\nmachines = 2\nzones = 0\nregions = 0\n"
            << "[bounds]\nseed-lag-s = 3\naddress-reuse-s = 2\nstability-window-ms = 5000\n"
            << "ack-timeout-ms = 6000\ncatch-up-s = 4\ndrain-ms = 7000\ngrace-s = 6\n"
            << "loss-slack-ms = 200\nconfig-apply-ms = 4000\nrollback-slack-ms = 250\n"
            << "outer-bound-ms = 15000\nstrict-revocation = true\nrevoke-ms = 5000\n"
            << "quota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\nrecovery-s = 12\n"
            << "fencing-enforced = false\nthaw-slack-ms = 300\n"
            << "[platform]\naddress = \"" << machine.storeWay->address()
            << "\"\nform = \"table\"\nwrites-per-s = 400\nreads-per-s = 2000\n"
            << "transaction-ms = 5.0\npart-writes-per-s = 200\nrow-bytes = 65536\n"
            << "across = false\nhistory-s = 20\nblob-bytes = 8388608\nblob-ms = 25.0\n"
            << "blob-mb-per-s = 80.0\n[cloud-api]\naddress = \"" << cloud->address()
            << "\"\nrate-per-s = 50.0\nduties = [\"promotion\"]\nduty-per-s = 50.0\n";
    }

    std::string m_net;
    uint64_t m_configVersion = 10;
    std::mutex m_mutex;
    std::mt19937_64 m_random{std::random_device{}()};
    uint64_t m_lastId = 0;
    std::vector<Operation> m_operations;
    std::vector<PromotionCall> m_promotionCalls;
    std::vector<std::thread> m_clients;
    std::atomic<bool> m_stopsClients{false};
};

// Whether the script makes its disruption; with TROUBLE=0 it does the same without.
inline bool troubleIsOn()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

// Settings like those of the site safra-ledger, from the arguments of a script's program: the
// case's folder, a temporary folder, and the program of the deploy file.
inline World::Settings worldSettings(int argc, char **argv)
{
    if (argc < 4) {
        std::fprintf(stderr, "usage: case FOLDER TEMPORARY PROGRAM\n");
        std::exit(2);
    }
    nowMs();
    World::Settings settings;
    settings.folder = argv[1];
    settings.temporary = argv[2];
    settings.program = argv[3];
    settings.zones = {{"rs-sul-a", 3}, {"rs-sul-b", 2}, {"pr-norte-a", 1}};
    settings.regions = {{"rs-sul-a", "rs-sul"}, {"rs-sul-b", "rs-sul"}, {"pr-norte-a", "pr-norte"}};
    return settings;
}

} // namespace review
