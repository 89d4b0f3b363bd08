#include "gentianplank/base/compression.h"

#include <zlib.h>

#include <array>

namespace gentianplank {

namespace {

constexpr size_t ChunkBytes = 16UL * 1024;

const Bytef *bytesOf(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

} // namespace

std::string compressed(std::string_view text)
{
    uLongf size = compressBound(text.size());
    std::string bytes(size, '\0');
    // With a buffer of this size it can fail only for lack of memory.
    if (compress2(reinterpret_cast<Bytef *>(bytes.data()), &size, bytesOf(text), text.size(),
                  Z_BEST_SPEED) != Z_OK) {
        throw std::bad_alloc();
    }
    bytes.resize(size);
    return bytes;
}

tl::expected<std::string, std::string> decompressed(std::string_view bytes, size_t maxBytes)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK) {
        throw std::bad_alloc();
    }
    stream.next_in = const_cast<Bytef *>(bytesOf(bytes));
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string text;
    std::array<char, ChunkBytes> chunk{};
    int state = Z_OK;
    while (state == Z_OK && text.size() <= maxBytes) {
        stream.next_out = reinterpret_cast<Bytef *>(chunk.data());
        stream.avail_out = static_cast<uInt>(chunk.size());
        state = inflate(&stream, Z_NO_FLUSH);
        text.append(chunk.data(), chunk.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    if (text.size() > maxBytes) {
        return tl::make_unexpected("more than " + std::to_string(maxBytes) + " bytes");
    }
    if (state != Z_STREAM_END) {
        return tl::make_unexpected(std::string("damaged compressed bytes"));
    }
    return text;
}

} // namespace gentianplank
