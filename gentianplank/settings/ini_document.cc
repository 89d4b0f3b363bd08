#include "gentianplank/settings/ini_document.h"

#include <ini.h>

#include <algorithm>
#include <cstring>

namespace gentianplank {

namespace {

// inih's line buffer holds 199 bytes including the line end.
constexpr size_t MaxLineBytes = 198;

// Input stream for inih: the unread text and the number of lines read.
struct TextReader
{
    std::string_view rest;
    int line = 0;
    IniDocument *document = nullptr;
};

char *readLine(char *buf, int size, void *stream)
{
    auto *reader = static_cast<TextReader *>(stream);
    if (reader->rest.empty()) {
        return nullptr;
    }
    const size_t end = reader->rest.find('\n');
    const size_t lineBytes = end == std::string_view::npos ? reader->rest.size() : end + 1;
    const size_t n = std::min(lineBytes, static_cast<size_t>(size) - 1);
    std::memcpy(buf, reader->rest.data(), n);
    buf[n] = '\0';
    reader->rest.remove_prefix(n);
    ++reader->line;
    return buf;
}

int addEntry(void *user, const char *section, const char *key, const char *value)
{
    auto *reader = static_cast<TextReader *>(user);
    reader->document->entries.push_back(
        {section, key, value == nullptr ? "" : value, reader->line});
    return 1;
}

// Empties lines that exceed inih's buffer, which inih would split in two, and adds their numbers to
// `badLines`.
void blankLongLines(std::string &text, std::vector<int> &badLines)
{
    int line = 0;
    for (size_t start = 0; start < text.size();) {
        ++line;
        const size_t end = std::min(text.find('\n', start), text.size());
        if (end - start > MaxLineBytes) {
            badLines.push_back(line);
            text.erase(start, end - start);
        }
        start = text.find('\n', start);
        start = start == std::string::npos ? text.size() : start + 1;
    }
}

} // namespace

IniDocument parseIni(std::string_view text)
{
    IniDocument document;
    std::string copy(text);
    blankLongLines(copy, document.badLines);
    // inih reports only the first invalid line. That line is blanked and the text is parsed again;
    // each pass removes one invalid line, so the loop ends.
    while (true) {
        document.entries.clear();
        TextReader reader{copy, 0, &document};
        const int badLine = ini_parse_stream(readLine, &reader, addEntry, &reader);
        if (badLine <= 0) {
            break;
        }
        document.badLines.push_back(badLine);
        size_t start = 0;
        for (int i = 1; i < badLine; ++i) {
            start = copy.find('\n', start) + 1;
        }
        const size_t end = std::min(copy.find('\n', start), copy.size());
        std::fill(copy.begin() + static_cast<std::ptrdiff_t>(start),
                  copy.begin() + static_cast<std::ptrdiff_t>(end), ' ');
    }
    return document;
}

} // namespace gentianplank
