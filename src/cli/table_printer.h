// Prints rows of text in aligned columns.

#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace greengagehead::cli {

class table_printer {
public:
    explicit table_printer(std::vector<std::string> headings);
    /// Adds a row. It may have fewer or more cells than there are headings.
    void add(std::vector<std::string> cells);
    void print(std::ostream& output) const;

private:
    std::vector<std::vector<std::string>> rows; // The first row holds the headings.
};

} // namespace greengagehead::cli
