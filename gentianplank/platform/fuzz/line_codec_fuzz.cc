// Fuzz target: bytes of a caller or a member, split into lines and decoded. Aborts if the lines
// depend on where reads end, or if a line exceeds its limit.
#include "gentianplank/platform/line_codec.h"

#include <cstdlib>
#include <vector>

using namespace gentianplank::platform;

namespace {

constexpr size_t LongestLine = 40;

std::vector<std::string> split(std::string_view bytes, size_t pieceBytes)
{
    LineBuffer buffer(LongestLine);
    std::vector<std::string> lines;
    for (size_t i = 0; i < bytes.size(); i += pieceBytes) {
        buffer.append(bytes.substr(i, pieceBytes));
        while (const auto line = buffer.next()) {
            lines.emplace_back(*line);
        }
        buffer.compact();
    }
    return lines;
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): the name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto lines = split(bytes, size + 1);
    if (split(bytes, 1) != lines || split(bytes, 7) != lines) {
        std::abort();
    }
    for (const std::string &it : lines) {
        if (it.size() > LongestLine) {
            std::abort();
        }
        decodeCallerLine(it);
        const MemberLine line = decodeMemberLine(it);
        if (line.kind == MemberLine::Kind::Row) {
            decodeStatus(line.fields);
        }
    }
    return 0;
}
