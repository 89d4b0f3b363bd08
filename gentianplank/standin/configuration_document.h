// The operator's configuration document for tests.
#pragma once

#include <string>

namespace gentianplank {

// Returns a configuration with one group, "g", a route of each kind and one organisation, "org".
// `keys` are its keys as a JSON list without brackets.
std::string configuration(int version, const std::string &keys);

} // namespace gentianplank
