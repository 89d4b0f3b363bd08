#include "gentianplank/base/testing/reserved_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

namespace gentianplank {

namespace {

void check(int result, const char *what)
{
    if (result < 0) {
        throw std::system_error(errno, std::generic_category(), what);
    }
}

} // namespace

// The socket is bound but never listens, and stays open until the process ends. With SO_REUSEADDR
// and SO_REUSEPORT a server can bind to the same port, while the kernel does not assign a bound
// port to a socket that asks for any free one.
uint16_t reservePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    check(socket, "can't open a socket to reserve a port");
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof(address);
    check(::bind(socket, reinterpret_cast<sockaddr *>(&address), n), "can't bind to a free port");
    check(::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &n),
          "can't read the number of the reserved port");
    const int on = 1;
    check(::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)), "SO_REUSEADDR");
    check(::setsockopt(socket, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)), "SO_REUSEPORT");
    return ntohs(address.sin_port);
}

std::string reserveAddress()
{
    return "127.0.0.1:" + std::to_string(reservePort());
}

} // namespace gentianplank
