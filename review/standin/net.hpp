// Sockets, HTTP and the record of a script. All calls block; a connection has a thread of its own.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
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
#include <sstream>
#include <string>
#include <thread>

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
            pollfd poller{m_fd, POLLIN, 0};
            if (::poll(&poller, 1, 20) <= 0) {
                continue;
            }
            if (m_isStopping) {
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

} // namespace review
