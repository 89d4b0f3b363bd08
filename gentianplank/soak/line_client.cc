#include "gentianplank/soak/line_client.h"

#include "gentianplank/http/endpoint.h"

#include <algorithm>
#include <array>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace gentianplank {

namespace {

// Waits for an event on the socket and returns whether it came.
bool await(int socket, short events, Instant until)
{
    const int64_t left = toMilliseconds(until - steadyNow());
    pollfd poller{socket, events, 0};
    return poll(&poller, 1, static_cast<int>(std::max<int64_t>(0, left))) > 0;
}

} // namespace

LineClient::~LineClient()
{
    close();
}

void LineClient::close()
{
    if (m_socket >= 0) {
        ::close(m_socket);
    }
    m_socket = -1;
    m_buffer.clear();
}

bool LineClient::connect(const std::string &address, Duration timeout)
{
    close();
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return false;
    }
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int result =
        ::connect(m_socket, endpoint->data(), static_cast<socklen_t>(endpoint->size()));
    int error = result == 0 ? 0 : errno;
    if (error == EINPROGRESS && await(m_socket, POLLOUT, steadyNow() + timeout)) {
        socklen_t n = sizeof(error);
        getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &n);
    }
    if (error != 0) {
        close();
    }
    return error == 0;
}

std::optional<std::string> LineClient::readLine(Instant until, bool &isCut)
{
    while (true) {
        const size_t end = m_buffer.find("\r\n");
        if (end != std::string::npos) {
            std::string line = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 2);
            return line;
        }
        if (!await(m_socket, POLLIN, until)) {
            return std::nullopt;
        }
        std::array<char, 4096> buf{};
        const ssize_t n = recv(m_socket, buf.data(), buf.size(), 0);
        if (n <= 0) {
            isCut = true;
            return std::nullopt;
        }
        m_buffer.append(buf.data(), static_cast<size_t>(n));
    }
}

LineAnswer LineClient::request(const std::string &line, Duration timeout)
{
    LineAnswer answer;
    const std::string bytes = line + "\r\n";
    const Instant until = steadyNow() + timeout;
    // A request fits into an empty socket buffer.
    if (m_socket < 0 || send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) {
        answer.isCut = true;
        close();
        return answer;
    }
    while (!answer.isComplete) {
        const auto text = readLine(until, answer.isCut);
        if (!text) {
            close();
            return answer;
        }
        answer.lines.push_back(*text);
        answer.isComplete = text->starts_with("READY");
    }
    return answer;
}

} // namespace gentianplank
