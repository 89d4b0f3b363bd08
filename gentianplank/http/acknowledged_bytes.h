// Progress of a TCP connection, as the system counts it.
#pragma once

#include <cstdint>

namespace gentianplank {

// Returns how many bytes the other end of a TCP socket has acknowledged since the connection was
// opened; 0 if the system can't tell. Thread-safe.
uint64_t acknowledgedBytes(int socket);

} // namespace gentianplank
