#include "gentianplank/http/acknowledged_bytes.h"

// The system's own header: the C library's structure lacks the field, and the two can't be included
// together.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace gentianplank {

uint64_t acknowledgedBytes(int socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    return ::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 ? info.tcpi_bytes_acked
                                                                          : 0;
}

} // namespace gentianplank
