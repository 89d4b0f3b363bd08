// JSON documents of the platform, decoded into the project's types: the operator's configuration
// and the members' entries.
#pragma once

#include "gentianplank/configuration/routing.h"
#include "gentianplank/target/member_entry.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace gentianplank::platform {

// Decodes a whole configuration. The error names the field that is missing or mistyped.
tl::expected<Routing, std::string> decodeConfiguration(std::string_view json);

// Decodes the entry of the member `id`. The error says why it names no member to use.
tl::expected<MemberEntry, std::string> decodeMemberEntry(std::string_view id,
                                                         std::string_view json);

} // namespace gentianplank::platform
