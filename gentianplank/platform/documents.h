// Decoders for the platform's JSON documents: the operator's configuration and the entries of
// members.
#pragma once

#include "gentianplank/configuration/routing.h"
#include "gentianplank/target/member_entry.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace gentianplank::platform {

// Decodes a configuration document. The error names the field that is missing or has the wrong
// type. Thread-safe.
tl::expected<Routing, std::string> decodeConfiguration(std::string_view json);

// Decodes the entry of the member `id`. The error says why the entry is not usable. Thread-safe.
tl::expected<MemberEntry, std::string> decodeMemberEntry(std::string_view id,
                                                         std::string_view json);

} // namespace gentianplank::platform
