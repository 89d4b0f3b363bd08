// Parser for INI text that keeps the line number of each entry.
//
//     IniDocument document = parseIni(text);
//     for (const IniEntry &it : document.entries) { ... }
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace gentianplank {

// One "key = value" line.
struct IniEntry
{
    std::string section;
    std::string key;
    std::string value;
    int line = 0;
};

struct IniDocument
{
    // In the order of the text.
    std::vector<IniEntry> entries;
    // Line numbers, from 1, of lines that are not valid INI or are too long.
    std::vector<int> badLines;
};

// Parses INI text with inih. Never fails: invalid lines and lines longer than 198 bytes are listed
// in `badLines`. Thread-safe.
IniDocument parseIni(std::string_view text);

} // namespace gentianplank
