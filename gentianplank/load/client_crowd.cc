#include "gentianplank/load/client_crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <sstream>
#include <vector>

namespace gentianplank {

namespace {

constexpr size_t LargeBytes = 900'000;
constexpr size_t EndlessBytes = 8'000'000;
constexpr size_t SmallReads = 20'000;
constexpr size_t PipelinedMessages = 3;
// Connections that a client of the kind ConnectAndLeave opens in all.
constexpr size_t MaxReconnects = 20;
constexpr Duration TrickleInterval = std::chrono::seconds(1);
constexpr int PollMs = 20;

std::string payloadOf(ClientKind kind)
{
    switch (kind) {
    case ClientKind::HalfMessage:
        return "QUERY q1 WRITE a " + std::string(LargeBytes, 'x');
    case ClientKind::PipelinedLarge: {
        std::string bytes;
        for (size_t i = 0; i < PipelinedMessages; ++i) {
            bytes += "QUERY q1 READ a " + std::string(LargeBytes, 'x') + "\r\n";
        }
        return bytes;
    }
    case ClientKind::UnreadAnswers: {
        std::string bytes;
        for (size_t i = 0; i < SmallReads; ++i) {
            bytes += "QUERY q1 READ warm\r\n";
        }
        return bytes;
    }
    case ClientKind::EndlessLine:
        return std::string(EndlessBytes, 'x');
    case ClientKind::Trickle:
        return "QUERY q1 WRITE a " + std::string(1000, 'x');
    case ClientKind::ConnectAndLeave:
        return "";
    case ClientKind::HalfClosed:
        return "QUERY q1 READ warm\r\n";
    }
    return "";
}

std::optional<sockaddr_in> parseAddress(std::string_view text)
{
    const size_t colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    uint16_t port = 0;
    const std::string_view digits = colon == std::string_view::npos ? "" : text.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const std::string ip(text.substr(0, colon));
    if (digits.empty() || parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() ||
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
        return std::nullopt;
    }
    address.sin_port = htons(port);
    return address;
}

// One connection and what it has sent.
struct Client
{
    int fd = -1;
    size_t sent = 0;
    size_t opened = 0;
    Instant nextByteAt{};
    bool hasEndedSending = false;
    // The end of the received bytes that may be part of a word.
    std::string tail;
};

struct Crowd
{
    Crowd(ClientKind clientKind, const CrowdOptions &crowdOptions)
        : kind(clientKind)
        , options(crowdOptions)
        , target(parseAddress(options.address))
        , start("START " + options.database + " " + options.key + "\r\n")
        , bytes(start + payloadOf(kind))
        , clients(std::min(options.connections, MaxCrowdConnections))
    {}

    void open(Client &client);
    void end(Client &client);
    void send(Client &client, Instant now);
    void receive(Client &client);
    void count(Client &client, std::string_view received);
    void step(Client &client, short events, Instant now);
    size_t sendable(const Client &client, Instant now) const;

    const ClientKind kind;
    const CrowdOptions &options;
    const std::optional<sockaddr_in> target;
    const std::string start;
    const std::string bytes;
    std::vector<Client> clients;
    CrowdResult result;
};

void Crowd::open(Client &client)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto source = parseAddress(options.source + ":0");
    const bool isBound =
        !source || ::bind(fd, reinterpret_cast<const sockaddr *>(&*source), sizeof *source) == 0;
    if (fd < 0 || !isBound ||
        ::connect(fd, reinterpret_cast<const sockaddr *>(&*target), sizeof *target) != 0) {
        ::close(fd);
        return;
    }
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    const size_t opened = client.opened + 1;
    client = Client{};
    client.fd = fd;
    client.opened = opened;
    ++result.connected;
}

void Crowd::end(Client &client)
{
    ::close(client.fd);
    client.fd = -1;
}

// Returns how many bytes the client may send now.
size_t Crowd::sendable(const Client &client, Instant now) const
{
    const size_t left = bytes.size() - client.sent;
    if (kind != ClientKind::Trickle || client.sent < start.size()) {
        return kind == ClientKind::Trickle ? start.size() - client.sent : left;
    }
    return now >= client.nextByteAt ? std::min<size_t>(left, 1) : 0;
}

void Crowd::send(Client &client, Instant now)
{
    const size_t wanted = sendable(client, now);
    const ssize_t n =
        wanted == 0 ? 0 : ::send(client.fd, bytes.data() + client.sent, wanted, MSG_NOSIGNAL);
    if (n > 0) {
        client.sent += static_cast<size_t>(n);
        client.nextByteAt = now + TrickleInterval;
        result.sentBytes += static_cast<uint64_t>(n);
    }
    if (kind == ClientKind::HalfClosed && client.sent == bytes.size() && !client.hasEndedSending) {
        client.hasEndedSending = true;
        ::shutdown(client.fd, SHUT_WR);
    }
}

void Crowd::count(Client &client, std::string_view received)
{
    client.tail.append(received);
    size_t line = 0;
    for (size_t end = client.tail.find('\n'); end != std::string::npos;
         end = client.tail.find('\n', line)) {
        result.served += client.tail.compare(line, 4, "DONE") == 0 ? 1 : 0;
        result.errors += client.tail.compare(line, 5, "ERROR") == 0 ? 1 : 0;
        line = end + 1;
    }
    client.tail.erase(0, line);
}

void Crowd::receive(Client &client)
{
    std::array<char, 16384> chunk{};
    const ssize_t n = ::recv(client.fd, chunk.data(), chunk.size(), 0);
    if (n > 0) {
        result.receivedBytes += static_cast<uint64_t>(n);
        count(client, {chunk.data(), static_cast<size_t>(n)});
    } else if (n == 0 || (errno != EAGAIN && errno != EINTR)) {
        ++result.closedByVm;
        end(client);
    }
}

void Crowd::step(Client &client, short events, Instant now)
{
    if (kind == ClientKind::ConnectAndLeave) {
        end(client);
        if (client.opened < MaxReconnects) {
            open(client);
        }
        return;
    }
    if ((events & POLLOUT) != 0) {
        send(client, now);
    }
    const bool hasFailed = (events & (POLLERR | POLLHUP)) != 0;
    if (kind == ClientKind::UnreadAnswers ? hasFailed : (events & ~POLLOUT) != 0) {
        receive(client);
    }
}

} // namespace

std::optional<ClientKind> parseClientKind(std::string_view name)
{
    for (const NamedClientKind &it : ClientKinds) {
        if (it.name == name) {
            return it.kind;
        }
    }
    return std::nullopt;
}

bool isLoopback(std::string_view address)
{
    const auto parsed = parseAddress(address);
    return parsed && (ntohl(parsed->sin_addr.s_addr) >> 24U) == IN_LOOPBACKNET;
}

CrowdResult runCrowd(ClientKind kind, const CrowdOptions &options)
{
    Crowd crowd(kind, options);
    if (!crowd.target) {
        return {};
    }
    const Instant until = steadyNow() + std::min(options.duration, MaxCrowdDuration);
    for (Client &it : crowd.clients) {
        crowd.open(it);
    }
    std::vector<pollfd> pollers(crowd.clients.size());
    for (Instant now = steadyNow(); now < until; now = steadyNow()) {
        for (size_t i = 0; i < pollers.size(); ++i) {
            const Client &it = crowd.clients[i];
            const bool sends = it.fd >= 0 && crowd.sendable(it, now) > 0;
            const bool reads = kind != ClientKind::UnreadAnswers;
            pollers[i] = {it.fd, static_cast<short>((reads ? POLLIN : 0) | (sends ? POLLOUT : 0)),
                          0};
        }
        ::poll(pollers.data(), pollers.size(), PollMs);
        for (size_t i = 0; i < pollers.size(); ++i) {
            const bool isActive = pollers[i].revents != 0 || kind == ClientKind::ConnectAndLeave;
            if (crowd.clients[i].fd >= 0 && isActive) {
                crowd.step(crowd.clients[i], pollers[i].revents, now);
            }
        }
    }
    for (Client &it : crowd.clients) {
        if (it.fd >= 0) {
            crowd.end(it);
        }
    }
    return crowd.result;
}

std::string render(const CrowdResult &result)
{
    std::ostringstream out;
    out << "connected " << result.connected << ", closed by the VM " << result.closedByVm
        << ", served " << result.served << ", errors " << result.errors << ", sent "
        << result.sentBytes << " bytes, received " << result.receivedBytes << " bytes";
    return out.str();
}

} // namespace gentianplank
