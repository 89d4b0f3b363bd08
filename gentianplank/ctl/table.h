// Plain-text tables with aligned columns.
//
//     Table table({"ORGANISATION", "RATE"});
//     table.add({"dredge-co", "100"});
//     out << table.render();
#pragma once

#include <string>
#include <vector>

namespace gentianplank {

// Each column is as wide as its widest cell. Not thread-safe.
class Table
{
public:
    explicit Table(std::vector<std::string> header);

    // `row` must have as many cells as the header.
    void add(std::vector<std::string> row);

    // Returns the header and the rows, one per line; the line "none" follows the header of an empty
    // table.
    std::string render() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace gentianplank
