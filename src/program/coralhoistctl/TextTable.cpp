#include "program/coralhoistctl/TextTable.h"

#include <algorithm>
#include <iomanip>

namespace coralhoist::ctl {

void TextTable::print(std::ostream& out, std::size_t indent) const {
    constexpr std::size_t kGap = 2;
    std::vector<std::size_t> widths;
    for (const auto& row : _rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const auto& row : _rows) {
        std::string line(indent, ' ');
        for (std::size_t column = 0; column < row.size(); ++column) {
            std::string cell = row[column];
            // The last cell of a row is not padded.
            if (column + 1 < row.size()) {
                cell.resize(widths[column] + kGap, ' ');
            }
            line += cell;
        }
        out << line << "\n";
    }
}

}  // namespace coralhoist::ctl
