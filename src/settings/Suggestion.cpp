#include "settings/Suggestion.h"

#include <algorithm>
#include <numeric>

namespace coralhoist::settings {
namespace {

/** A suggestion may differ from what was typed in at most a third of its letters, or two. */
constexpr std::size_t kSmallestTolerance = 2;
constexpr std::size_t kToleranceDivisor = 3;

/** @return the number of insertions, deletions and replacements between the texts. */
std::size_t editDistance(std::string_view left, std::string_view right) {
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j) {
            const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({row[j] + 1, row[j + 1] + 1, replaced});
        }
    }
    return row.back();
}

}  // namespace

std::string nearestName(std::string_view mistyped, const std::vector<std::string>& names) {
    // Longer inputs are no typing mistakes, and the distance costs the product of the lengths.
    constexpr std::size_t kLongestInput = 100;
    if (mistyped.size() > kLongestInput) {
        return {};
    }
    std::size_t best = std::max(kSmallestTolerance, mistyped.size() / kToleranceDivisor) + 1;
    std::string nearest;
    for (const std::string& name : names) {
        const std::size_t distance = editDistance(mistyped, name);
        if (distance < best) {
            best = distance;
            nearest = name;
        }
    }
    return nearest;
}

std::string suggestionFor(std::string_view mistyped, const std::vector<std::string>& names) {
    const std::string nearest = nearestName(mistyped, names);
    return nearest.empty() ? std::string() : "; did you mean '" + nearest + "'?";
}

}  // namespace coralhoist::settings
