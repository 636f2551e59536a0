// Column alignment.

#include "cli/table_printer.h"

#include <algorithm>
#include <cstddef>
#include <ostream>
#include <utility>

namespace greengagehead::cli {

namespace {

/// Counts code points of UTF-8 rather than bytes, so that columns with accented names are aligned.
std::size_t display_width(std::string const& text)
{
    return static_cast<std::size_t>(std::count_if(text.begin(), text.end(), [](char byte) {
        return (static_cast<unsigned char>(byte) & 0xC0U) != 0x80U;
    }));
}

} // namespace

table_printer::table_printer(std::vector<std::string> headings)
{
    this->rows.push_back(std::move(headings));
}

void table_printer::add(std::vector<std::string> cells)
{
    this->rows.push_back(std::move(cells));
}

void table_printer::print(std::ostream& output) const
{
    std::vector<std::size_t> widths;
    for (auto const& row : this->rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], display_width(row[column]));
    }
    for (auto const& row : this->rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            if (column + 1 < row.size())
                line += std::string(widths[column] - display_width(row[column]) + 2, ' ');
        }
        output << line << "\n";
    }
}

} // namespace greengagehead::cli
