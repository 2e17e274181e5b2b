#include "settings/TreeDigest.h"

#include <xxhash.h>

namespace coralhoist::settings {

std::size_t TreeDigest::bucketOf(std::string_view path) {
    return XXH3_64bits(path.data(), path.size()) % kBuckets;
}

std::uint64_t TreeDigest::hashOf(std::string_view path, std::uint64_t version, bool inForce) {
    const std::uint64_t seed = version * 2 + (inForce ? 1 : 0);
    return XXH3_64bits_withSeed(path.data(), path.size(), seed);
}

void TreeDigest::add(std::string_view path, std::uint64_t recordHash) {
    _buckets[bucketOf(path)] += recordHash;
}

void TreeDigest::remove(std::string_view path, std::uint64_t recordHash) {
    _buckets[bucketOf(path)] -= recordHash;
}

std::uint64_t TreeDigest::total() const {
    // A hash rather than a sum: equal total and different buckets must not happen by cancellation.
    return XXH3_64bits(_buckets.data(), sizeof _buckets);
}

}  // namespace coralhoist::settings
