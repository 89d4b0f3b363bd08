// Addresses for servers that tests start.
//
//     server.listen(reserveAddress());
#pragma once

#include <cstdint>
#include <string>

namespace gentianplank {

// Returns a port of 127.0.0.1 that is no one else's: until the process ends, neither it nor another
// one is given the port again. A server that sets SO_REUSEADDR, as all of the project do, can
// listen there; until then calls to it are refused. Throws std::system_error without a free port or
// descriptor. Thread-safe.
uint16_t reservePort();

// The same as "127.0.0.1:PORT".
std::string reserveAddress();

} // namespace gentianplank
