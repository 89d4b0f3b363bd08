// Addresses for servers that tests start.
#pragma once

#include <cstdint>
#include <string>

namespace gentianplank {

// Returns a port of 127.0.0.1 that neither this process nor another one is assigned again until
// this process ends. A server that sets SO_REUSEADDR, as all of the project do, can listen on it;
// until then connections to it are refused. Throws std::system_error if no port or descriptor is
// free. Thread-safe.
uint16_t reservePort();

// Returns a reserved port as "127.0.0.1:PORT". Same contract as reservePort().
std::string reserveAddress();

} // namespace gentianplank
