// Deflate by zlib for values that go over slow links.
//
//     const std::string packed = compressed(text);
//     const auto text = decompressed(packed, LargestValue);
#pragma once

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace gentianplank {

// Thread-safe.
std::string compressed(std::string_view text);

// Returns the text, or what is wrong with the bytes: damaged, or a text of more than `most` bytes.
// Thread-safe.
tl::expected<std::string, std::string> decompressed(std::string_view bytes, size_t most);

} // namespace gentianplank
