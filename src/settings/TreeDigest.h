/** Checksums by which two proxies find what one of them misses. */
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace coralhoist::settings {

/**
 * One sum per bucket of paths, kept up to date at each change. Equal trees have equal sums; trees
 * that differ have different sums but for a collision of 64 bits. The sum of a bucket is the sum
 * modulo 2^64 of the hashes of its records, so that the order of changes does not matter.
 */
class TreeDigest {
public:
    static constexpr std::size_t kBuckets = 256;

    /** @return the bucket of a path; the same on every proxy. */
    static std::size_t bucketOf(std::string_view path);

    /**
     * @param inForce whether the record is in force, as opposed to refused.
     * @return the hash of one record. Path and version name a record; its content follows.
     */
    static std::uint64_t hashOf(std::string_view path, std::uint64_t version, bool inForce);

    void add(std::string_view path, std::uint64_t recordHash);
    void remove(std::string_view path, std::uint64_t recordHash);

    /** @return one number for the whole tree. */
    std::uint64_t total() const;
    const std::array<std::uint64_t, kBuckets>& buckets() const { return _buckets; }

    bool operator==(const TreeDigest&) const = default;

private:
    std::array<std::uint64_t, kBuckets> _buckets{};
};

}  // namespace coralhoist::settings
