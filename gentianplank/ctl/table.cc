#include "gentianplank/ctl/table.h"

#include <algorithm>

namespace gentianplank {

namespace {

constexpr size_t ColumnGap = 2;

} // namespace

Table::Table(std::vector<std::string> header)
{
    m_rows.push_back(std::move(header));
}

void Table::add(std::vector<std::string> row)
{
    m_rows.push_back(std::move(row));
}

std::string Table::render() const
{
    std::vector<size_t> widths(m_rows.front().size(), 0);
    for (const auto &row : m_rows) {
        for (size_t i = 0; i < widths.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto &row : m_rows) {
        std::string line;
        for (size_t i = 0; i < widths.size(); ++i) {
            line += row[i] + std::string(widths[i] + ColumnGap - row[i].size(), ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    if (m_rows.size() == 1) {
        text += "none\n";
    }
    return text;
}

} // namespace gentianplank
