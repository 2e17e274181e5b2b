/** Arrays of 32-bit sums as bytes, little-endian. */
#pragma once

#include <QtEndian>
#include <cstdint>
#include <string>
#include <vector>

namespace coralhoist::peer {

inline std::string encodeSums(const std::vector<std::uint32_t>& sums) {
    std::string bytes(sums.size() * sizeof(std::uint32_t), '\0');
    qToLittleEndian<std::uint32_t>(sums.data(), static_cast<qsizetype>(sums.size()), bytes.data());
    return bytes;
}

/** @return the sums; bytes after the last whole one are ignored. */
inline std::vector<std::uint32_t> decodeSums(const std::string& bytes) {
    std::vector<std::uint32_t> sums(bytes.size() / sizeof(std::uint32_t));
    qFromLittleEndian<std::uint32_t>(bytes.data(), static_cast<qsizetype>(sums.size()),
                                     sums.data());
    return sums;
}

}  // namespace coralhoist::peer
