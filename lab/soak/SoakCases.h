/** Lists of soak runs that are kept to be played again. */
#pragma once

#include <cstdint>
#include <istream>
#include <optional>
#include <vector>

namespace coralhoist::soak {

/** One run of a list. */
struct SoakCase {
    std::uint64_t seed = 0;
    std::uint32_t seconds = 0;
    std::uint32_t proxies = 0;
};

/**
 * Reads a case from each line, as seed, seconds and proxies; "#" begins a comment.
 * @return nothing when a line can't be read.
 */
std::optional<std::vector<SoakCase>> readCases(std::istream& input);

}  // namespace coralhoist::soak
