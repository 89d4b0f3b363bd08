// The header fields of an HTTP message.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gentianplank {

// Names and values in the order of the message.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Returns the value of the first field of that name, ignoring case; nullopt if there is none.
std::optional<std::string> findHeader(const HttpHeaders &headers, std::string_view name);

} // namespace gentianplank
