// Compression by zlib of values that are sent over slow links.
//
//     const std::string packed = compressed(text);
//     const auto text = decompressed(packed, MaxValueBytes);
#pragma once

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace gentianplank {

// Thread-safe.
std::string compressed(std::string_view text);

// Returns the text, or an error for damaged bytes and for a text of more than `maxBytes`.
// Thread-safe.
tl::expected<std::string, std::string> decompressed(std::string_view bytes, size_t maxBytes);

} // namespace gentianplank
