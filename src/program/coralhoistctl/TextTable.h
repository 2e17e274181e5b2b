/** Aligned columns of text. */
#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace coralhoist::ctl {

/** Collects rows and prints them with each column as wide as its widest cell. */
class TextTable {
public:
    /** @param heading cells of the first row. */
    explicit TextTable(std::vector<std::string> heading) { addRow(std::move(heading)); }

    void addRow(std::vector<std::string> cells) { _rows.push_back(std::move(cells)); }

    /** @param indent blanks before each row. */
    void print(std::ostream& out, std::size_t indent = 0) const;

private:
    std::vector<std::vector<std::string>> _rows;
};

}  // namespace coralhoist::ctl
